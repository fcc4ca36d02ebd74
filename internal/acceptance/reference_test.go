package acceptance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/proptest"
)

// reference evaluates the definition of acceptance directly, for each pending
// revision and each entry VM. It keeps all acknowledgements and leases.
type reference struct {
	acks             map[freshness.EntryKey][]ack
	grants           map[freshness.EntryKey][]leaseGrant
	current          Revision
	pending          []Revision
	accepted         map[string]uint64
	leaseWait        time.Duration
	confirmationWait time.Duration
}

func newReference(since time.Duration, current Revision) *reference {
	r := &reference{
		acks:             make(map[freshness.EntryKey][]ack),
		grants:           make(map[freshness.EntryKey][]leaseGrant),
		current:          current,
		pending:          []Revision{current},
		accepted:         make(map[string]uint64),
		leaseWait:        freshness.AddDrift(freshness.LeaseDuration),
		confirmationWait: freshness.AddDrift(freshness.ConfirmationValidity),
	}
	expiresAt := since + freshness.AddDrift(freshness.MaxQuorumAge+freshness.LeaseDuration)
	for _, key := range append(append([]freshness.EntryKey{}, current.Set...), current.PreviousSet...) {
		r.grants[key] = []leaseGrant{{0, expiresAt}}
	}
	return r
}

func (r *reference) recordAck(received time.Duration, key freshness.EntryKey, revision uint64, sinceConfirmed time.Duration) {
	r.acks[key] = append(r.acks[key], ack{revision, received + r.confirmationWait - freshness.SubtractDrift(sinceConfirmed)})
}

func (r *reference) grantLease(received time.Duration, key freshness.EntryKey) {
	r.grants[key] = append(r.grants[key], leaseGrant{r.current.Number, received + r.leaseWait})
}

func (r *reference) addRevision(rev Revision) {
	r.current = rev
	r.pending = append(r.pending, rev)
}

// advance accepts the newest revision that can be accepted in each region, and
// drops the revisions that are accepted everywhere.
func (r *reference) advance(now time.Duration) {
	var regions []string
	for _, key := range append(append([]freshness.EntryKey{}, r.current.Set...), r.current.PreviousSet...) {
		if !slices.Contains(regions, key.Region) {
			regions = append(regions, key.Region)
		}
	}
	everywhere, changed := r.current.Number, false
	for _, region := range regions {
		for _, rev := range slices.Backward(r.pending) {
			if rev.Number > r.accepted[region] && r.canAccept(now, rev, region) {
				r.accepted[region], changed = rev.Number, true
				break
			}
		}
		everywhere = min(everywhere, r.accepted[region])
	}
	if changed {
		r.pending = slices.DeleteFunc(r.pending, func(rev Revision) bool { return rev.Number <= everywhere })
	}
}

func (r *reference) canAccept(now time.Duration, rev Revision, region string) bool {
	if !r.excludesOldMajority(now, rev.Number, freshness.InRegion(rev.Set, region)) {
		return false
	}
	if rev.SetRevision > r.accepted[region] && !r.excludesOldMajority(now, rev.Number, freshness.InRegion(rev.PreviousSet, region)) {
		return false
	}
	for key, grants := range r.grants {
		if key.Region != region || r.acked(key, rev.Number) != nil {
			continue
		}
		for _, g := range grants {
			if g.revision < rev.Number && now < g.expiresAt {
				return false
			}
		}
	}
	return true
}

// acked returns the first acknowledgement of the revision or a later one.
func (r *reference) acked(key freshness.EntryKey, revision uint64) *ack {
	for i, a := range r.acks[key] {
		if a.revision >= revision {
			return &r.acks[key][i]
		}
	}
	return nil
}

func (r *reference) excludesOldMajority(now time.Duration, revision uint64, set []freshness.EntryKey) bool {
	mayConfirmOlder := 0
	for _, key := range set {
		a := r.acked(key, revision)
		if a == nil || now < a.confirmationsEnd && len(set) > 1 {
			mayConfirmOlder++
		}
	}
	return mayConfirmOlder < freshness.Majority(len(set))
}

// TestProofTrackerAgreesWithReference compares the tracker with the reference
// after each step of random histories with changing sets, two regions, acks
// with and without recent confirmations, and leases that expire.
func TestProofTrackerAgreesWithReference(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		pool := make([]freshness.EntryKey, 7)
		for i := range pool {
			pool[i] = freshness.EntryKey{ID: fmt.Sprintf("e%d", i), ClusterAddress: "a", Region: []string{"r0", "r1"}[i%2]}
		}
		set := pool[:rapid.IntRange(0, len(pool)).Draw(rt, "members")]
		current := Revision{Number: 1, Set: set, SetRevision: 1, PreviousSet: set}
		if rapid.Bool().Draw(rt, "new group") {
			current = Revision{}
		}
		tracker, ref := New(0, current), newReference(0, current)
		held := make(map[freshness.EntryKey]uint64)
		// confirmedAt is the time of the last confirmation that each entry VM gave.
		confirmedAt := make(map[freshness.EntryKey]time.Duration)
		now := time.Duration(0)
		step := func() {
			key := pool[rapid.IntRange(0, len(pool)-1).Draw(rt, "entry")]
			switch rapid.SampledFrom([]string{"commit", "change set", "ack", "ack", "ack", "renew", "renew", "confirm", "wait"}).Draw(rt, "action") {
			case "commit":
				current.Number++
				tracker.AddRevision(current)
				ref.addRevision(current)
			case "change set":
				next := pool[:rapid.IntRange(0, len(pool)).Draw(rt, "members")]
				current = Revision{Number: current.Number + 1, Set: next, SetRevision: current.Number + 1, PreviousSet: current.Set}
				tracker.AddRevision(current)
				ref.addRevision(current)
			case "ack":
				held[key] = max(held[key], uint64(rapid.IntRange(0, int(current.Number)).Draw(rt, "revision")))
				tracker.RecordAck(now, key, held[key], now-confirmedAt[key])
				ref.recordAck(now, key, held[key], now-confirmedAt[key])
			case "renew":
				if _, ok := tracker.GrantLease(now, now, now, key); ok {
					ref.grantLease(now, key)
				}
			case "confirm":
				confirmedAt[key] = now
			case "wait":
				now += time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			step()
			tracker.Advance(now)
			ref.advance(now)
			for _, region := range tracker.regions {
				assert.Equal(rt, tracker.AcceptedIn(region), ref.accepted[region])
			}
		}
	})
}
