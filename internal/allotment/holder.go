package allotment

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// aheadDuration is the time for which an entry VM takes permits ahead of need. It
	// is shorter than a permit is valid, so that few end unused.
	aheadDuration = 150 * time.Millisecond
	// demandDuration is the time over which the demand is averaged.
	demandDuration = time.Second
	// HedgeDelay is the time after which the next shard is asked as well. An answer
	// takes about 1 ms, but an entry VM that has used up its CPU share is paused for
	// up to 100 ms.
	HedgeDelay = 4 * time.Millisecond
	// failedInterval is the time for which a shard that did not answer in time is not
	// asked, notIssuingInterval that for one which has no issuer. It is shorter, since
	// that costs no call a time-out, and an issuer may begin before the time that it
	// has stated.
	failedInterval     = 500 * time.Millisecond
	notIssuingInterval = 150 * time.Millisecond
	// takeoverWait is the time that callers are told to wait while no shard has an
	// issuer that answers.
	takeoverWait = 500 * time.Millisecond
	// MaxUnits is the largest number of permits that are asked for at once.
	MaxUnits = 1000
	// unusedHolding is the time after which the state of an organisation without
	// requests is dropped.
	unusedHolding = 10 * time.Second
)

// Permit is the right to send one request.
type Permit struct {
	shard int
	// until is the time before which the request must be sent.
	until time.Duration
}

// Valid reports whether a request may be sent with the permit.
func (p Permit) Valid(now time.Duration) bool { return now < p.until }

// Ask is a request for permits to the issuer of a shard.
type Ask struct {
	Organisation           string
	Shard, Units, Returned int
	sent                   time.Duration
	// hedged is set when the next shard may be asked as well.
	hedged bool
}

// Status says whether a request may be sent.
type Status int

// Statuses.
const (
	// Granted: the request may be sent.
	Granted Status = iota
	// Pending: an answer is on its way; Use is to be called again when one has come,
	// or after HedgeDelay.
	Pending
	// Refused: there is no permit in any shard.
	Refused
	// NoIssuer: no shard that answers has an issuer.
	NoIssuer
)

// Holder holds the permits of one entry VM. It is not safe for concurrent use.
type Holder struct {
	validity time.Duration
	// first is the shard that is asked first; it differs among entry VMs.
	first    int
	holdings map[string]*holding
}

// NewHolder returns a Holder without permits. random is in [0, 1).
func NewHolder(b Bounds, random float64) *Holder {
	return &Holder{validity: b.Validity(), first: int(random * Shards), holdings: make(map[string]*holding)}
}

// holding is what an entry VM holds of one organisation.
type holding struct {
	// permits holds the unused permits in the order in which they were issued.
	permits []Permit
	// expected holds, for the calls that have arrived and not asked for their permit
	// yet, the time until which they count.
	expected []time.Duration
	// waiting is the number of calls that wait for a permit.
	waiting int
	asks    []*Ask
	shards  [Shards]shardState
	next    int
	// demand is the averaged number of requests per second at the time demandAt.
	demand   float64
	demandAt time.Duration
}

// shardState is what an entry VM knows of one shard.
type shardState struct {
	// emptyUntil is the time until which the issuer has no permits, failedUntil that
	// until which others are preferred.
	emptyUntil, failedUntil time.Duration
	failed                  bool
}

func (h *Holder) holding(now time.Duration, organisation string) *holding {
	o := h.holdings[organisation]
	if o == nil {
		o = &holding{next: h.first, demandAt: now}
		h.holdings[organisation] = o
	}
	return o
}

// Expect records that a call has arrived. If it is about to be sent, soon is set, and
// Expect returns a request for permits to be made in the background, nil if none is
// needed. A status other than Pending says that there is no permit for the call, and
// when there may be one.
func (h *Holder) Expect(now time.Duration, organisation string, soon bool) (*Ask, Status, time.Duration) {
	o := h.holding(now, organisation)
	o.recordDemand(now)
	if !soon {
		return nil, Pending, 0
	}
	o.expected = append(o.expected, now+h.validity)
	ask := o.ask(now, organisation)
	if len(o.asks) > 0 || len(o.permits) >= o.needed() {
		return ask, Pending, 0
	}
	o.expected = o.expected[:len(o.expected)-1]
	status, wait := o.refusal(now)
	return nil, status, wait
}

// Forget records that the call of an earlier Expect is not going to use a permit.
func (h *Holder) Forget(organisation string) {
	if o := h.holdings[organisation]; o != nil && len(o.expected) > 0 {
		o.expected = o.expected[1:]
	}
}

// Use takes a permit for a request that is sent at once. It returns a request for
// permits to be made, nil if none is needed, and the time after which a caller that
// was refused may come back. If the status is Pending, the call waits until Use
// returns another one, or until StopWaiting.
func (h *Holder) Use(now time.Duration, organisation string, waiting bool) (Permit, Status, time.Duration, *Ask) {
	o := h.holding(now, organisation)
	if !waiting {
		h.Forget(organisation)
		o.waiting++
	}
	o.dropEnded(now)
	if len(o.permits) > 0 {
		p := o.permits[0]
		o.permits = o.permits[1:]
		o.waiting--
		return p, Granted, 0, o.ask(now, organisation)
	}
	ask := o.ask(now, organisation)
	if len(o.asks) > 0 {
		return Permit{}, Pending, 0, ask
	}
	o.waiting--
	status, wait := o.refusal(now)
	return Permit{}, status, wait, nil
}

// StopWaiting records that a call no longer waits after Use has returned Pending.
func (h *Holder) StopWaiting(organisation string) {
	if o := h.holdings[organisation]; o != nil && o.waiting > 0 {
		o.waiting--
	}
}

// Return gives back a permit with which no upstream has run a request. It is used for
// another one, or handed back with Flush.
func (h *Holder) Return(now time.Duration, organisation string, p Permit) {
	if p.Valid(now) {
		o := h.holding(now, organisation)
		o.permits = slices.Insert(o.permits, 0, p)
	}
}

// Flush returns a request that hands back permits of one shard which are not needed, nil
// if there are none. Others may have room for a request with them.
func (h *Holder) Flush(now time.Duration, organisation string) *Ask {
	o := h.holdings[organisation]
	if o == nil {
		return nil
	}
	o.dropEnded(now)
	spare := len(o.permits) - o.needed() - o.ahead(now)
	if spare <= 0 {
		return nil
	}
	ask := &Ask{Organisation: organisation, Shard: o.permits[0].shard, sent: now}
	ask.Returned = o.takeOut(ask.Shard, spare)
	return ask
}

// Answered records the answer to a request for permits. It must be called once for
// each Ask, with or without an answer. It returns the request to the next shard if
// calls still lack permits.
func (h *Holder) Answered(now time.Duration, a *Ask, answer Answer, answered bool) *Ask {
	o := h.holding(now, a.Organisation)
	o.asks = slices.DeleteFunc(o.asks, func(other *Ask) bool { return other == a })
	o.record(now, a, answer, answered, h.validity)
	return o.ask(now, a.Organisation)
}

func (o *holding) record(now time.Duration, a *Ask, answer Answer, answered bool, validity time.Duration) {
	s := &o.shards[a.Shard]
	if !answered {
		s.failed, s.failedUntil = true, now+failedInterval
		return
	}
	if !answer.Issuing {
		s.failed, s.failedUntil = true, now+notIssuingInterval
		return
	}
	s.failed = false
	for range min(answer.Granted, a.Units) {
		o.permits = append(o.permits, Permit{shard: a.Shard, until: a.sent + validity})
	}
	if answer.Granted < a.Units {
		s.emptyUntil = now + answer.Wait
	}
}

// Demand returns the averaged number of requests of the organisation per second, and
// the number of permits held. The issuer needs neither; they are for diagnosis.
func (h *Holder) Demand(now time.Duration, organisation string) (perSecond float64, held int) {
	o := h.holdings[organisation]
	if o == nil {
		return 0, 0
	}
	return o.demandNow(now), len(o.permits)
}

// DropUnused drops the state of organisations without recent requests.
func (h *Holder) DropUnused(now time.Duration) {
	maps.DeleteFunc(h.holdings, func(_ string, o *holding) bool {
		return now > o.demandAt+unusedHolding && o.waiting == 0 && len(o.asks) == 0
	})
}

func (o *holding) recordDemand(now time.Duration) {
	o.demand = o.demandNow(now) + 1/demandDuration.Seconds()
	o.demandAt = now
}

func (o *holding) demandNow(now time.Duration) float64 {
	return o.demand * math.Exp(-(now-o.demandAt).Seconds()/demandDuration.Seconds())
}

// ahead returns the number of permits to hold ahead of need.
func (o *holding) ahead(now time.Duration) int {
	return int(o.demandNow(now) * aheadDuration.Seconds())
}

// dropEnded drops the permits that have ended and the calls that no longer count.
func (o *holding) dropEnded(now time.Duration) {
	o.permits = slices.DeleteFunc(o.permits, func(p Permit) bool { return !p.Valid(now) })
	for len(o.expected) > 0 && o.expected[0] <= now {
		o.expected = o.expected[1:]
	}
}

// needed returns the number of permits that calls need now or soon.
func (o *holding) needed() int { return o.waiting + len(o.expected) }

// ask returns a request for permits if calls lack some, or if fewer than half of those
// to hold ahead are left.
func (o *holding) ask(now time.Duration, organisation string) *Ask {
	o.dropEnded(now)
	supply := len(o.permits)
	for _, a := range o.asks {
		if !a.hedged && now >= a.sent+HedgeDelay {
			a.hedged = true
			s := &o.shards[a.Shard]
			s.failed, s.failedUntil = true, max(s.failedUntil, now+failedInterval)
		}
		if !a.hedged {
			supply += a.Units
		}
	}
	needed, ahead := o.needed(), o.ahead(now)
	if lacking := needed - supply; lacking <= 0 && (supply-needed)*2 >= ahead {
		return nil
	}
	shard, ok := o.choose(now)
	if !ok {
		return nil
	}
	a := &Ask{Organisation: organisation, Shard: shard, Units: min(MaxUnits, needed+ahead-supply), sent: now}
	if a.Units <= 0 {
		return nil
	}
	o.asks = append(o.asks, a)
	return a
}

// choose returns the shard to ask: the next one that may have permits, if possible one
// that has not failed. A shard that has failed is tried again when failedUntil has
// passed.
func (o *holding) choose(now time.Duration) (int, bool) {
	asked := func(shard int) bool {
		return slices.ContainsFunc(o.asks, func(a *Ask) bool { return a.Shard == shard })
	}
	for _, alsoAsked := range []bool{false, true} {
		for n := range Shards {
			shard := (o.next + n) % Shards
			s := o.shards[shard]
			if now < s.emptyUntil || now < s.failedUntil || asked(shard) && (!alsoAsked || s.failed) {
				continue
			}
			if s.failed {
				// One request at a time shows whether it answers again.
				o.shards[shard].failedUntil = now + failedInterval
			}
			o.next = (shard + 1) % Shards
			return shard, true
		}
	}
	return 0, false
}

// refusal returns why there is no permit and when there may be one.
func (o *holding) refusal(now time.Duration) (Status, time.Duration) {
	status, wait := NoIssuer, time.Duration(math.MaxInt64)
	for _, s := range o.shards {
		if !s.failed && now < s.emptyUntil {
			status, wait = Refused, min(wait, s.emptyUntil-now)
		}
	}
	if status == NoIssuer {
		wait = takeoverWait
	}
	return status, wait
}

// takeOut removes up to n unused permits of the shard and returns their number.
func (o *holding) takeOut(shard, n int) int {
	taken := 0
	o.permits = slices.DeleteFunc(o.permits, func(p Permit) bool {
		if p.shard != shard || taken == n {
			return false
		}
		taken++
		return true
	})
	return taken
}
