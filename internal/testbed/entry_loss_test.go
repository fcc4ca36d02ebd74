package testbed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestContradictedNotRunFindsFalseReplies checks the function by which the
// payment tests find false "not run" replies. The run begins at 5 s.
func TestContradictedNotRunFindsFalseReplies(t *testing.T) {
	start := time.Now()
	at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	notRunReply := func(sent, received int) reply {
		return reply{runHeader: "not run", sent: at(sent), received: at(received)}
	}
	otherReply := func(sent, received int) reply { return reply{sent: at(sent), received: at(received)} }
	for _, tc := range []struct {
		name         string
		replies      []reply
		contradicted bool
	}{
		{"answered", []reply{otherReply(4, 6)}, false},
		{"not run, then answered", []reply{notRunReply(1, 2), otherReply(4, 6)}, false},
		{"answered, then not run", []reply{otherReply(4, 6), notRunReply(7, 8)}, true},
		{"not run while it ran", []reply{otherReply(1, 9), notRunReply(4, 6)}, true},
		{"not run, then ran", []reply{notRunReply(1, 2), otherReply(6, 7)}, true},
	} {
		why := contradictedNotRun(tc.replies, at(5))
		assert.Equal(t, why != "", tc.contradicted, "%s: %s", tc.name, why)
	}
}

// TestMostPaymentsAreAnsweredAfterLossOfEntryVMs guards against claims that are
// lost with entry VMs. Two entry VMs are killed at once while payments are
// resent, and another one as soon as a restarted one has synced its claims.
// Each payment is sent once more after the losses; most must then be answered.
func TestMostPaymentsAreAnsweredAfterLossOfEntryVMs(t *testing.T) {
	c := newCluster(t, 3, 6)
	c.configureBooking()
	ups := c.startUpstreams(4)
	c.awaitServing("call")
	c.awaitClaims()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		time.Sleep(resendInterval)
		c.entries[0].kill()
		c.entries[1].kill()
		c.entries[0].start()
		if !c.servesWithin(0, conditionTimeout) {
			t.Errorf("restarted entry VM does not serve within %v", conditionTimeout)
			return
		}
		time.Sleep(metricLag)
		if !pollWithin(conditionTimeout, func() bool { return c.claimsSyncProblem(0) == "" }) {
			t.Errorf("restarted entry VM does not sync its claims within %v", conditionTimeout)
			return
		}
		c.entries[2].kill()
		c.entries[1].start()
		c.entries[2].start()
	}()
	all := runPayers(c, faults)
	c.awaitServing("call after the faults")
	c.resendAll(all)
	answered := checkPayments(t, ups, all)
	assert.Assert(t, 2*answered > len(all), "only %d of %d payments answered, want more than half", answered, len(all))
}

// resendAll sends each payment once more.
func (c *cluster) resendAll(all map[string][]reply) {
	u := newCaller(c)
	defer u.client.CloseIdleConnections()
	for key := range all {
		all[key] = append(all[key], u.send("", "POST", "/booking/pay/7", key))
	}
}

// servesWithin waits until the entry VM serves; it reports false when it does
// not within limit.
func (c *cluster) servesWithin(entry int, limit time.Duration) bool {
	return pollWithin(limit, func() bool { return c.servingProblem(entry) == "" })
}

// pollWithin polls until ok returns true; it reports false when limit has
// passed. Unlike waitFor it may be used outside the goroutine of the test.
func pollWithin(limit time.Duration, ok func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if ok() {
			return true
		}
		time.Sleep(resendInterval)
	}
	return false
}
