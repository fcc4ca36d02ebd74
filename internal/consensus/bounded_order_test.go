package consensus

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
)

const (
	orderHistories = 200
	orderZone      = "a"
	// attemptTime is the time for which an operator waits for an answer.
	attemptTime = time.Second
	// maxAttempts is the number of times that it sends one order.
	maxAttempts = 4
)

// attempt is an order on its way: at the control VM that received it, then at the
// replica to which it is forwarded, then in the log.
type attempt struct {
	number   int
	cmd      *catalogpb.SetZoneOut
	at       *simNode
	due      time.Duration
	received bool
	// index and term are those of the entry in the log.
	index, term uint64
	answered    bool
	accepted    bool
}

// orderSim is a control group that applies orders to a catalog. All catalogs apply the
// same log, so that they are the same at the same index.
type orderSim struct {
	*sim
	bounded  bool
	catalogs map[uint64]*catalog.Catalog
	attempts []*attempt
	// changed holds, by index of the log, the number of the order that changed the zone.
	changed map[uint64]int
}

func newOrderSim(seed uint64, bounded bool) *orderSim {
	o := &orderSim{sim: newSim(3, seed, 0), bounded: bounded, catalogs: map[uint64]*catalog.Catalog{}, changed: map[uint64]int{}}
	for _, n := range o.nodes {
		o.catalogs[n.id] = catalog.New()
	}
	o.onApply = o.applied
	return o
}

func (o *orderSim) applied(n *simNode, e *clusterpb.LogEntry) {
	c := o.catalogs[n.id]
	before := zoneState(c)
	result, _ := c.Apply(e.GetIndex(), e.GetData()).(catalog.CommandResult)
	for _, a := range o.attempts {
		if a.index != e.GetIndex() || a.term != e.GetTerm() {
			continue
		}
		if zoneState(c) != before {
			o.changed[e.GetIndex()] = a.number
		}
		if a.at == n {
			a.answered, a.accepted = true, result.Err == nil
		}
	}
}

func zoneState(c *catalog.Catalog) catalogpb.ZoneState {
	if list := c.Config().Zones; len(list) > 0 {
		return list[0].State
	}
	return catalogpb.ZoneState_ZONE_STATE_UNSPECIFIED
}

// send sends an order to a control VM, also if that is frozen. It then takes a short
// time or, in a third of the cases, several seconds to reach the leader.
func (o *orderSim) send(number int, n *simNode) *attempt {
	cmd := &catalogpb.SetZoneOut{Zone: orderZone, Out: number%2 == 0}
	if o.bounded {
		cmd.BaseRevision = o.catalogs[n.id].Index()
	}
	a := &attempt{number: number, cmd: cmd, at: n, due: o.now + o.delay()}
	o.attempts = append(o.attempts, a)
	return a
}

func (o *orderSim) delay() time.Duration {
	if o.rng.IntN(3) == 0 {
		return time.Duration(o.rng.Int64N(int64(4 * time.Second)))
	}
	return time.Duration(o.rng.Int64N(int64(20 * time.Millisecond)))
}

// work lets a tick pass and moves the attempts that are due.
func (o *orderSim) work() {
	o.advance(simTick)
	for _, a := range o.attempts {
		if a.answered || a.index != 0 || a.due > o.now || a.at.frozenUntil > o.now {
			continue
		}
		if !a.received {
			next := o.node(a.at.r.leader)
			a.received, a.answered = true, next == nil
			a.at, a.due = next, o.now+o.delay()
			continue
		}
		data, err := proto.Marshal(&catalogpb.Command{Kind: &catalogpb.Command_SetZoneOut{SetZoneOut: a.cmd}})
		if err != nil {
			panic(err)
		}
		last := a.at.r.log.lastIndex()
		a.index, a.term = last+1, a.at.r.term
		o.step(a.at, Propose{ID: o.nextCallID(), Data: data})
		if a.at.r.log.lastIndex() == last {
			a.index, a.answered = 0, true
		}
	}
}

// runOrders plays the orders of an operator, alternately to take a zone out and to bring
// it back. It returns the highest number of an accepted order, with the index in the
// log, and whether an order of a lower number changed the zone after it.
func (o *orderSim) runOrders() (accepted int, outdated bool) {
	o.advance(2 * time.Second)
	acceptedAt := map[int]uint64{}
	for number := range 10 {
		for range maxAttempts {
			if o.rng.IntN(4) == 0 {
				frozen := o.nodes[o.rng.IntN(len(o.nodes))]
				frozen.frozenUntil = o.now + time.Second + time.Duration(o.rng.Int64N(int64(5*time.Second)))
			}
			a := o.send(number, o.nodes[o.rng.IntN(len(o.nodes))])
			for end := o.now + attemptTime; o.now < end && !a.answered; {
				o.work()
			}
			if a.accepted {
				accepted, acceptedAt[number] = number, a.index
				break
			}
		}
	}
	for range 10 * time.Second / simTick {
		o.work()
	}
	for index, number := range o.changed {
		for later, at := range acceptedAt {
			outdated = outdated || later > number && at < index
		}
	}
	return accepted, outdated
}

// TestHeldOrderChangesNothingAfterLaterOne guards against an order that a control VM
// holds, because it is frozen or slow at any point from the receipt to the log, and that
// takes effect after a later one was acknowledged. Without base revisions it does.
func TestHeldOrderChangesNothingAfterLaterOne(t *testing.T) {
	unbounded, accepted := 0, 0
	for seed := range uint64(orderHistories) {
		o := newOrderSim(seed, true)
		last, outdated := o.runOrders()
		assert.Assert(t, !outdated, "seed %d: an order took effect after a later one had been accepted", seed)
		states := slices.Collect(func(yield func(catalogpb.ZoneState) bool) {
			for _, c := range o.catalogs {
				yield(zoneState(c))
			}
		})
		assert.Equal(t, len(slices.Compact(states)), 1, "seed %d: the catalogs differ: %v", seed, states)
		accepted += last
		if _, outdated := newOrderSim(seed, false).runOrders(); outdated {
			unbounded++
		}
	}
	t.Logf("without base revisions, outdated orders took effect in %d of %d histories", unbounded, orderHistories)
	assert.Assert(t, unbounded > orderHistories/10, "the histories hold too few outdated orders")
	assert.Assert(t, accepted > orderHistories*5, "too few orders were accepted")
}
