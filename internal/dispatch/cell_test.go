package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const ms = time.Millisecond

// harness drives one cell.
type harness struct {
	t      *testing.T
	cell   *Cell
	now    time.Duration
	lastID uint64
}

func newHarness(t *testing.T, cfg Config) *harness {
	cfg.ZoneOpen = true
	h := &harness{t: t, cell: New(cfg, 0, 1)}
	h.cell.Step(0, AssignmentAccepted{})
	return h
}

func (h *harness) announce(id string, slots int, r ReportedState) {
	h.cell.Step(h.now, Announce{ID: id, Address: id + ":1", Slots: slots, Incarnation: 1, State: r})
}

// acquire requests a slot with a deadline of one second. It returns the key of
// the request and the first action, or nil if there was none.
func (h *harness) acquire(maxWait time.Duration, avoid ...string) (RequestKey, Action) {
	h.lastID++
	k := RequestKey{Entry: "e", Incarnation: 1, ID: h.lastID}
	acts := h.cell.Step(h.now, Acquire{Key: k, Deadline: h.now + time.Second, MaxWait: maxWait, Avoid: avoid})
	if len(acts) == 0 {
		return k, nil
	}
	return k, acts[0]
}

func (h *harness) release(k RequestKey, outcome clusterpb.Outcome, serviceTime time.Duration) []Action {
	return h.cell.Step(h.now, Release{Key: k, Outcome: outcome, ServiceTime: serviceTime})
}

// completeRequests runs n requests one after the other, each of the given
// service time.
func (h *harness) completeRequests(n int, serviceTime time.Duration, avoid ...string) {
	for range n {
		k, a := h.acquire(0, avoid...)
		_, ok := a.(Grant)
		assert.Assert(h.t, ok, "%v", a)
		h.now += serviceTime
		h.release(k, clusterpb.Outcome_OUTCOME_OK, serviceTime)
	}
}

func (h *harness) limit(id string) int { return h.cell.upstream(id).limit }

func TestColdUpstreamKeepsColdLimitUntilEnoughRequestsComplete(t *testing.T) {
	h := newHarness(t, Config{ColdSlots: 1, WarmAfter: 6})
	h.announce("u", 4, ReportedWarm)
	_, a := h.acquire(0)
	assert.Equal(t, a.(Grant).Upstream, "u")
	k, a := h.acquire(0)
	assert.Equal(t, a.(Refuse).Kind, fault.QueueFull)
	h.now += time.Second
	h.announce("u", 4, ReportedWarm)
	assert.Equal(t, h.limit("u"), 1)
	h.release(RequestKey{"e", 1, 1}, clusterpb.Outcome_OUTCOME_OK, 10*ms)
	h.cell.Step(h.now, Cancel{k})
	h.completeRequests(4, 10*ms)
	assert.Equal(t, h.limit("u"), 1)
	h.completeRequests(1, 10*ms)
	assert.Equal(t, h.limit("u"), 2)
	h.completeRequests(3, 10*ms)
	assert.Equal(t, h.limit("u"), 4)
	assert.Equal(t, h.cell.Upstreams()[0].State, "warm")
}

func TestQueueIsFIFOAndRefusesRequestsThatCannotBeServedInTime(t *testing.T) {
	h := newHarness(t, Config{ColdSlots: 1, QueueLimit: 2})
	h.announce("u", 1, ReportedWarm)
	h.completeRequests(1, 100*ms)
	first, _ := h.acquire(0)
	second, a := h.acquire(time.Second)
	assert.Assert(t, a == nil)
	_, a = h.acquire(50 * ms)
	assert.Equal(t, a.(Refuse).Kind, fault.DeadlineTooShort)
	_, a = h.acquire(time.Second)
	assert.Assert(t, a == nil)
	_, a = h.acquire(time.Second)
	assert.Equal(t, a.(Refuse).Kind, fault.QueueFull)
	assert.Assert(t, a.(Refuse).RetryAfter >= 100*ms)
	acts := h.release(first, clusterpb.Outcome_OUTCOME_OK, 100*ms)
	assert.Equal(t, acts[len(acts)-1].(Grant).Key, second)
}

func TestDrainingUpstreamAndClosedZoneReceiveNoRequests(t *testing.T) {
	h := newHarness(t, Config{})
	h.announce("u", 1, ReportedWarm)
	h.announce("u", 1, ReportedDraining)
	h.announce("u", 1, ReportedWarm)
	_, a := h.acquire(time.Second)
	assert.Equal(t, a.(Refuse).Kind, fault.NoUpstream)

	h = newHarness(t, Config{})
	h.announce("u", 1, ReportedWarm)
	h.acquire(0)
	waiting, _ := h.acquire(time.Second)
	acts := h.cell.Step(h.now, Configure{Config{ZoneOpen: false}})
	assert.Equal(t, acts[0].(Refuse).Key, waiting)
	assert.Equal(t, acts[0].(Refuse).Kind, fault.ZoneOut)
}

func TestDuplicateAndLateMessagesChangeNoSlotCount(t *testing.T) {
	h := newHarness(t, Config{})
	h.announce("u", 2, ReportedWarm)
	k, _ := h.acquire(0)
	acts := h.cell.Step(h.now, Acquire{Key: k, Deadline: time.Second})
	assert.Equal(t, acts[0].(Grant).Key, k)
	assert.Equal(t, h.cell.InFlight("u"), 1)
	h.release(k, clusterpb.Outcome_OUTCOME_OK, ms)
	h.release(k, clusterpb.Outcome_OUTCOME_OK, ms)
	assert.Equal(t, h.cell.InFlight("u"), 0)
	h.cell.Step(h.now, Acquire{Key: k, Deadline: time.Second})
	assert.Equal(t, h.cell.InFlight("u"), 0)
}

func TestNewDispatcherCountsReregisteredTickets(t *testing.T) {
	h := &harness{t: t, cell: New(Config{ZoneOpen: true, TicketHolders: []string{"e", "f"}}, 0, 1)}
	h.announce("u", 2, ReportedWarm)
	_, a := h.acquire(time.Second)
	assert.Equal(t, a.(Refuse).Kind, fault.NoDispatcher)
	h.cell.Step(0, AssignmentAccepted{})
	held := []HeldTicket{{ID: 100, Upstream: "u", Deadline: time.Second}}
	h.cell.Step(0, Reregister{Entry: "e", Incarnation: 1, Tickets: held})
	known := []UpstreamLimit{{Upstream: "u", Incarnation: 1, Limit: 2, Epoch: 1, Version: 3}}
	h.cell.Step(0, Reregister{Entry: "f", Incarnation: 1, Limits: known})
	assert.Equal(t, h.limit("u"), 2)
	assert.Equal(t, h.cell.InFlight("u"), 1)
	_, a = h.acquire(0)
	assert.Equal(t, a.(Grant).Upstream, "u")
	_, a = h.acquire(0)
	assert.Equal(t, a.(Refuse).Kind, fault.QueueFull)
	h.cell.Step(0, Release{Key: RequestKey{"e", 1, 100}, Outcome: clusterpb.Outcome_OUTCOME_OK, ServiceTime: ms})
	assert.Equal(t, h.cell.InFlight("u"), 1)
}

func TestReopenedZoneStartsUpstreamsCold(t *testing.T) {
	cfg := Config{ColdSlots: 1, WarmAfter: 4, ZoneOpen: true}
	h := newHarness(t, cfg)
	h.announce("u", 4, ReportedWarm)
	h.completeRequests(8, 10*ms)
	assert.Equal(t, h.limit("u"), 4)
	cfg.ZoneOpen = false
	h.cell.Step(h.now, Configure{cfg})
	cfg.ZoneOpen = true
	h.cell.Step(h.now, Configure{cfg})
	assert.Equal(t, h.limit("u"), 1)
}

func TestOccasionalLongRequestsDoNotCauseRefusalOfShortDeadlines(t *testing.T) {
	h := newHarness(t, Config{ColdSlots: 1, WarmAfter: 4})
	h.announce("u", 1, ReportedWarm)
	for range 10 {
		h.completeRequests(9, 20*ms)
		h.announce("u", 1, ReportedWarm)
		h.completeRequests(1, 20*time.Second)
		h.announce("u", 1, ReportedWarm)
	}
	h.acquire(0)
	_, a := h.acquire(500 * ms)
	assert.Assert(t, a == nil, "%v", a)
}
