package testbed

import (
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	concurrentCalls = 16
	queueingDelay   = 500 * time.Millisecond
	// freezeBeyondLease is twice the lease duration.
	freezeBeyondLease = 6 * time.Second
	// callsAfterFreeze is the number of calls sent right after the freeze.
	callsAfterFreeze = 200
)

// TestResumedEntryVMSendsNoQueuedCallToZoneTakenOut guards against an entry VM
// that acts on an outdated configuration. Its process is suspended while an
// availability zone is taken out, and resumes with calls queued at its socket.
// None of them may reach that zone.
func TestResumedEntryVMSendsNoQueuedCallToZoneTakenOut(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configureBooking()
	ups := c.startUpstreams(4)
	c.awaitServing("call")
	frozen := c.entries[0]
	frozen.signal(syscall.SIGSTOP)
	start := time.Now()
	c.mustAdmin("zone", "take-out", "b")
	t.Logf("zone change accepted %v after the entry VM was suspended", time.Since(start).Round(time.Millisecond))
	before := runsInZone(ups, "b")
	var callers conc.WaitGroup
	for range concurrentCalls {
		callers.Go(func() { call(c.callers[0], "GET", "/booking/dates", "") })
	}
	time.Sleep(queueingDelay)
	frozen.signal(syscall.SIGCONT)
	callers.Wait()
	waitFor(t, "call through the entry VM that was frozen", func() string { return c.servingProblem(0) })
	assert.Equal(t, runsInZone(ups, "b"), before, "requests ran in zone b after the change that takes it out was accepted")
}

// TestDispatcherResumedUnderLoadSendsNoCallToZoneTakenOut guards against a
// dispatcher that acts on an expired lease. The entry VM that dispatches the
// cell of an availability zone is suspended with calls in flight, for longer
// than its lease, while that zone is taken out. Calls sent as soon as it resumes
// must not reach that zone; all answers come from the other zone.
func TestDispatcherResumedUnderLoadSendsNoCallToZoneTakenOut(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configureBooking()
	ups := c.startUpstreams(4)
	c.awaitServing("call")
	frozen := c.dispatcherIndex("booking", "b")
	var stop atomic.Bool
	var load conc.WaitGroup
	for range concurrentCalls {
		load.Go(func() {
			for !stop.Load() {
				call(c.callers[frozen], "GET", "/booking/dates", "")
			}
		})
	}
	waitFor(t, "calls through the dispatcher of zone b", func() string {
		if runsInZone(ups, "b") < concurrentCalls {
			return "fewer than 16 runs in zone b"
		}
		return ""
	})
	c.entries[frozen].signal(syscall.SIGSTOP)
	end := time.Now().Add(freezeBeyondLease)
	c.mustAdmin("zone", "take-out", "b")
	time.Sleep(time.Until(end))
	before := runsInZone(ups, "b")
	c.entries[frozen].signal(syscall.SIGCONT)
	u := newCaller(c)
	for range callsAfterFreeze {
		r := u.send(c.callers[frozen], "GET", "/booking/dates", "")
		if r.err == nil && r.status == http.StatusOK {
			id := strings.TrimSpace(r.body[strings.LastIndex(r.body, "up-"):])
			assert.Assert(t, zoneOf(ups, id) != "b", "call was answered by %s in the zone taken out", id)
		}
	}
	waitFor(t, "call through the entry VM that was frozen", func() string { return c.servingProblem(frozen) })
	stop.Store(true)
	load.Wait()
	u.client.CloseIdleConnections()
	assert.Equal(t, runsInZone(ups, "b"), before, "requests ran in zone b after the change that takes it out was accepted")
}

// dispatcherIndex returns the index of the entry VM that dispatches the cell of
// the service in the zone.
func (c *cluster) dispatcherIndex(service, zone string) int {
	c.t.Helper()
	for _, cell := range newOperatorClient(c, "tester", operatorKey).config().GetCells() {
		if cell.GetService() != service || cell.GetZone() != zone {
			continue
		}
		for i, p := range c.entries {
			if p.Name == cell.GetEntry() {
				return i
			}
		}
	}
	c.t.Fatalf("no entry VM dispatches service %s in zone %s", service, zone)
	return 0
}

// zoneOf returns the availability zone of the upstream with the id, or an empty
// string when there is none.
func zoneOf(ups []*Upstream, id string) string {
	for _, u := range ups {
		if u.ID() == id {
			return u.opts.Zone
		}
	}
	return ""
}
