package catalog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/features"
)

// Guards against DRAIN: an upstream that had deregistered was used again when the first
// announcement of the same start arrived late.
func TestLateAnnouncementOfDepartedStartIsIgnored(t *testing.T) {
	m := &testMachine{t: t, Catalog: New(), features: features.Supported}
	m.announce(announcement("u", 100, 5, ready))
	m.drop("u", 200)
	m.announce(announcement("u", 200, 1, ready))
	assert.Equal(t, m.upstreamState("u"), gone)
	m.announce(announcement("u", 300, 1, ready))
	assert.Equal(t, m.upstreamState("u"), ready, "announcement of a later start")
}

// Guards against DRAIN: each sequence of announcements and departures of two starts under
// one id, which may arrive in any order and more than once.
func TestDepartedStartsStayGoneInEachOrderOfMessages(t *testing.T) {
	type message struct {
		name    string
		started uint64
		leaves  bool
		deliver func(*testMachine)
	}
	var messages []message
	for _, started := range []uint64{100, 200} {
		announce := func(sequence uint64, state catalogpb.UpstreamState) {
			messages = append(messages, message{fmt.Sprint(state, " ", started), started, false, func(m *testMachine) {
				u := announcement("u", started, sequence, state)
				u.Address = fmt.Sprintf("10.0.0.%d:80", started)
				m.announce(u)
			}})
		}
		announce(1, ready)
		announce(2, draining)
		messages = append(messages, message{fmt.Sprint("departure ", started), started, true, func(m *testMachine) { m.drop("u", started) }})
	}
	const length = 5
	for n := 0; ; n++ {
		m := &testMachine{t: t, Catalog: New(), features: features.Supported}
		var order []string
		var newestDeparted, newestAnnounced uint64
		rest := n
		for range length {
			msg := messages[rest%len(messages)]
			rest /= len(messages)
			order = append(order, msg.name)
			msg.deliver(m)
			if msg.leaves {
				newestDeparted = max(newestDeparted, msg.started)
			} else {
				newestAnnounced = max(newestAnnounced, msg.started)
			}
			u, _ := upstreams.get(m.Config().Upstreams, "u")
			inUse := u != nil && u.State != gone
			assert.Equal(t, inUse, newestAnnounced > newestDeparted, "after %v", order)
			assert.Assert(t, !inUse || u.StartedMs == newestAnnounced, "after %v", order)
		}
		if rest > 0 {
			return
		}
	}
}

// Guards against DRAIN: among many upstreams that had left, the record of one that had run
// for long was removed as soon as it left, and a late announcement brought it back.
func TestRecordOfLongRunningUpstreamIsKeptWhenItLeaves(t *testing.T) {
	m := &testMachine{t: t, Catalog: New(), features: features.Supported}
	old := announcement("old", 1, 1, ready)
	old.Address = "10.0.2.1:80"
	m.announce(old)
	for i := range uint64(2 * RetainedGoneUpstreams) {
		m.drop(fmt.Sprint("u", i), 10+i)
	}
	m.drop("old", 1)
	m.announce(old)
	assert.Equal(t, m.upstreamState("old"), gone)
	assert.Equal(t, len(m.Config().Upstreams), RetainedGoneUpstreams)
	m.drop("old", 1)
	assert.Equal(t, m.upstreamState("old"), gone, "departure that is sent again")
}

// Members of older builds apply the same commands: one that does not state the feature has
// exactly its old effect.
func TestDepartureWithoutFeatureHasItsOldEffect(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.announce(announcement("u", 100, 5, ready))
	m.drop("u", 200)
	u, _ := upstreams.get(m.Config().Upstreams, "u")
	assert.Equal(t, u.State, gone)
	assert.Equal(t, u.StartedMs, uint64(100))
	assert.Equal(t, u.GoneIndex, uint64(0))
	assert.Equal(t, u.Address, "10.0.0.1:80")
}
