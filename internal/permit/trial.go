package permit

import (
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

// trialDuration is the time for which the permit for a trial holds at the issuer,
// unless it is renewed or returned.
const trialDuration = 1500 * time.Millisecond

// TrialLease is the time for which the holder may use the permit for a trial,
// counted from the time at which it asked for it.
var TrialLease = freshness.SubtractDrift(trialDuration)

// maxTrialWait bounds the time after which a holder asks again for a permit that
// another one holds. The permit may be returned any moment.
const maxTrialWait = 100 * time.Millisecond

// Holder identifies an attempt with a suspect request.
type Holder struct {
	Entry  string
	Number uint64
}

// heldTrial is the permit for a trial that has been issued.
type heldTrial struct {
	holder Holder
	until  time.Duration
}

// BeginTrial issues the permit for an attempt with a suspect request, or renews it:
// of the requests with one key, only one attempt holds a permit at a time. A new
// issuer does not wait for TakeoverDelay, which would hold up harmless requests after
// each change of the entry VMs: the holder renews its permit there. Until then, or
// while the old issuer still has a lease, there may be one permit of each.
func (i *Issuer) BeginTrial(now time.Duration, key string, holder Holder) Decision {
	if i.leaving || now >= i.leaseEnd || winner(i.live, key) != i.self {
		delete(i.trials, key)
		return Decision{}
	}
	if held, ok := i.trials[key]; ok && held.holder != holder && now < held.until {
		return Decision{Wait: min(held.until-now, maxTrialWait)}
	}
	i.trials[key] = heldTrial{holder, now + trialDuration}
	return Decision{Granted: true}
}

// EndTrial returns the permit of the holder.
func (i *Issuer) EndTrial(key string, holder Holder) {
	if i.trials[key].holder == holder {
		delete(i.trials, key)
	}
}
