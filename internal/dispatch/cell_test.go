package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const ms = time.Millisecond

// world drives one cell by hand.
type world struct {
	t    *testing.T
	c    *Cell
	now  time.Duration
	next uint64
}

func newWorld(t *testing.T, cfg Config) *world {
	cfg.ZoneOpen = true
	w := &world{t: t, c: New(cfg, 0, 1)}
	w.c.Step(0, AssignmentAccepted{})
	return w
}

func (w *world) announce(id string, slots int, r ReportedState) {
	w.c.Step(w.now, Announce{ID: id, Address: id + ":1", Slots: slots, Incarnation: 1, State: r})
}

// acquire asks for a slot and returns the key and the first action.
func (w *world) acquire(maxWait time.Duration, avoid ...string) (RequestKey, Action) {
	w.next++
	k := RequestKey{Entry: "e", Incarnation: 1, ID: w.next}
	acts := w.c.Step(w.now, Acquire{Key: k, Deadline: w.now + time.Second, MaxWait: maxWait, Avoid: avoid})
	if len(acts) == 0 {
		return k, nil
	}
	return k, acts[0]
}

func (w *world) release(k RequestKey, o clusterpb.Outcome, took time.Duration) []Action {
	return w.c.Step(w.now, Release{Key: k, Outcome: o, ServiceTime: took})
}

// run completes n requests of the given length, one at a time.
func (w *world) run(n int, took time.Duration, avoid ...string) {
	for range n {
		k, a := w.acquire(0, avoid...)
		_, ok := a.(Grant)
		assert.Assert(w.t, ok, "%v", a)
		w.now += took
		w.release(k, clusterpb.Outcome_OUTCOME_OK, took)
	}
}

func (w *world) limit(id string) int { return w.c.upstream(id).limit }

func TestColdUpstreamIsBoundedAndRampsByWork(t *testing.T) {
	w := newWorld(t, Config{ColdSlots: 1, WarmAfter: 6})
	w.announce("u", 4, ReportedWarm)
	_, a := w.acquire(0)
	assert.Equal(t, a.(Grant).Upstream, "u")
	k, a := w.acquire(0)
	assert.Equal(t, a.(Refuse).Kind, fault.QueueFull)
	w.now += time.Second
	w.announce("u", 4, ReportedWarm)
	assert.Equal(t, w.limit("u"), 1)
	w.release(RequestKey{"e", 1, 1}, clusterpb.Outcome_OUTCOME_OK, 10*ms)
	w.c.Step(w.now, Cancel{k})
	w.run(4, 10*ms)
	assert.Equal(t, w.limit("u"), 1)
	w.run(1, 10*ms)
	assert.Equal(t, w.limit("u"), 2)
	w.run(3, 10*ms)
	assert.Equal(t, w.limit("u"), 4)
	assert.Equal(t, w.c.Upstreams()[0].State, "warm")
}

func TestQueueIsServedInOrderAndHopelessRequestsAreRefused(t *testing.T) {
	w := newWorld(t, Config{ColdSlots: 1, QueueLimit: 2})
	w.announce("u", 1, ReportedWarm)
	w.run(1, 100*ms)
	first, _ := w.acquire(0)
	second, a := w.acquire(time.Second)
	assert.Assert(t, a == nil)
	_, a = w.acquire(50 * ms)
	assert.Equal(t, a.(Refuse).Kind, fault.DeadlineTooShort)
	_, a = w.acquire(time.Second)
	assert.Assert(t, a == nil)
	_, a = w.acquire(time.Second)
	assert.Equal(t, a.(Refuse).Kind, fault.QueueFull)
	assert.Assert(t, a.(Refuse).RetryAfter >= 100*ms)
	acts := w.release(first, clusterpb.Outcome_OUTCOME_OK, 100*ms)
	assert.Equal(t, acts[len(acts)-1].(Grant).Key, second)
}

func TestDrainingAndClosedZoneGetNoNewWork(t *testing.T) {
	w := newWorld(t, Config{})
	w.announce("u", 1, ReportedWarm)
	w.announce("u", 1, ReportedDraining)
	w.announce("u", 1, ReportedWarm)
	_, a := w.acquire(time.Second)
	assert.Equal(t, a.(Refuse).Kind, fault.NoUpstream)

	w = newWorld(t, Config{})
	w.announce("u", 1, ReportedWarm)
	w.acquire(0)
	waiting, _ := w.acquire(time.Second)
	acts := w.c.Step(w.now, Configure{Config{ZoneOpen: false}})
	assert.Equal(t, acts[0].(Refuse).Key, waiting)
	assert.Equal(t, acts[0].(Refuse).Kind, fault.ZoneOut)
}

func TestLateAndDoubledMessages(t *testing.T) {
	w := newWorld(t, Config{})
	w.announce("u", 2, ReportedWarm)
	k, _ := w.acquire(0)
	acts := w.c.Step(w.now, Acquire{Key: k, Deadline: time.Second})
	assert.Equal(t, acts[0].(Grant).Key, k)
	assert.Equal(t, w.c.InFlight("u"), 1)
	w.release(k, clusterpb.Outcome_OUTCOME_OK, ms)
	w.release(k, clusterpb.Outcome_OUTCOME_OK, ms)
	assert.Equal(t, w.c.InFlight("u"), 0)
	w.c.Step(w.now, Acquire{Key: k, Deadline: time.Second})
	assert.Equal(t, w.c.InFlight("u"), 0)
}

func TestNewDispatcherCountsInheritedTickets(t *testing.T) {
	w := &world{t: t, c: New(Config{ZoneOpen: true, TicketHolders: []string{"e", "f"}}, 0, 1)}
	w.announce("u", 2, ReportedWarm)
	_, a := w.acquire(time.Second)
	assert.Equal(t, a.(Refuse).Kind, fault.NoDispatcher)
	w.c.Step(0, AssignmentAccepted{})
	held := []HeldTicket{{ID: 100, Upstream: "u", Deadline: time.Second}}
	w.c.Step(0, Reregister{Entry: "e", Incarnation: 1, Tickets: held})
	known := []UpstreamLimit{{Upstream: "u", Incarnation: 1, Limit: 2, Epoch: 1, Version: 3}}
	w.c.Step(0, Reregister{Entry: "f", Incarnation: 1, Limits: known})
	assert.Equal(t, w.limit("u"), 2)
	assert.Equal(t, w.c.InFlight("u"), 1)
	_, a = w.acquire(0)
	assert.Equal(t, a.(Grant).Upstream, "u")
	_, a = w.acquire(0)
	assert.Equal(t, a.(Refuse).Kind, fault.QueueFull)
	w.c.Step(0, Release{Key: RequestKey{"e", 1, 100}, Outcome: clusterpb.Outcome_OUTCOME_OK, ServiceTime: ms})
	assert.Equal(t, w.c.InFlight("u"), 1)
}

func TestReturningZoneStartsCold(t *testing.T) {
	cfg := Config{ColdSlots: 1, WarmAfter: 4, ZoneOpen: true}
	w := newWorld(t, cfg)
	w.announce("u", 4, ReportedWarm)
	w.run(8, 10*ms)
	assert.Equal(t, w.limit("u"), 4)
	cfg.ZoneOpen = false
	w.c.Step(w.now, Configure{cfg})
	cfg.ZoneOpen = true
	w.c.Step(w.now, Configure{cfg})
	assert.Equal(t, w.limit("u"), 1)
}

func TestLongRequestsDoNotMakeShortDeadlinesHopeless(t *testing.T) {
	w := newWorld(t, Config{ColdSlots: 1, WarmAfter: 4})
	w.announce("u", 1, ReportedWarm)
	for range 10 {
		w.run(9, 20*ms)
		w.announce("u", 1, ReportedWarm)
		w.run(1, 20*time.Second)
		w.announce("u", 1, ReportedWarm)
	}
	w.acquire(0)
	_, a := w.acquire(500 * ms)
	assert.Assert(t, a == nil, "%v", a)
}
