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
	waitingCalls = 16
	queueTime    = 500 * time.Millisecond
	// longFreeze is twice the lease of a configuration.
	longFreeze = 6 * time.Second
	// callsAfter is the number of calls at once after the freeze.
	callsAfter = 200
)

// TestFrozenEntryAdmitsNothingOld stops an entry VM's process, takes an
// availability zone out, and lets the process go on with calls already waiting
// at its socket. None of them may reach that zone.
func TestFrozenEntryAdmitsNothingOld(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configure()
	ups := c.startUpstreams(4)
	c.awaitServing("call")
	frozen := c.entries[0]
	frozen.signal(syscall.SIGSTOP)
	start := time.Now()
	c.mustAdmin("zone", "take-out", "b")
	t.Logf("accepted %v after the freeze", time.Since(start).Round(time.Millisecond))
	before := runsIn(ups, "b")
	var callers conc.WaitGroup
	for range waitingCalls {
		callers.Go(func() { call(c.callers[0], "GET", "/booking/dates", "") })
	}
	time.Sleep(queueTime)
	frozen.signal(syscall.SIGCONT)
	callers.Wait()
	waitFor(t, "call through the entry VM that was frozen", func() string { return c.serves(0) })
	assert.Equal(t, runsIn(ups, "b"), before, "runs in an availability zone after its departure was accepted")
}

// TestFrozenEntryWakesUnderLoad freezes the entry VM that dispatches the cell
// of an availability zone, with calls in flight and for longer than its lease,
// while that zone is taken out. Calls sent as soon as the process goes on must
// not reach that zone, and each whole answer comes from the other one.
func TestFrozenEntryWakesUnderLoad(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configure()
	ups := c.startUpstreams(4)
	c.awaitServing("call")
	frozen := c.dispatcherOf("booking", "b")
	var stop atomic.Bool
	var load conc.WaitGroup
	for range waitingCalls {
		load.Go(func() {
			for !stop.Load() {
				call(c.callers[frozen], "GET", "/booking/dates", "")
			}
		})
	}
	waitFor(t, "work through the entry VM", func() string {
		if runsIn(ups, "b") < waitingCalls {
			return "too few runs"
		}
		return ""
	})
	c.entries[frozen].signal(syscall.SIGSTOP)
	end := time.Now().Add(longFreeze)
	c.mustAdmin("zone", "take-out", "b")
	time.Sleep(time.Until(end))
	before := runsIn(ups, "b")
	c.entries[frozen].signal(syscall.SIGCONT)
	u := newCaller(c)
	for range callsAfter {
		r := u.send(c.callers[frozen], "GET", "/booking/dates", "")
		if r.err == nil && r.status == http.StatusOK {
			id := strings.TrimSpace(r.body[strings.LastIndex(r.body, "up-"):])
			assert.Assert(t, zoneOf(ups, id) != "b", "answered by %s", id)
		}
	}
	waitFor(t, "call through the entry VM that was frozen", func() string { return c.serves(frozen) })
	stop.Store(true)
	load.Wait()
	u.client.CloseIdleConnections()
	assert.Equal(t, runsIn(ups, "b"), before, "runs in an availability zone after its departure was accepted")
}

// dispatcherOf returns the number of the entry VM that dispatches a cell.
func (c *cluster) dispatcherOf(service, zone string) int {
	c.t.Helper()
	for _, cell := range newOperator(c, "tester", operatorKey).config().GetCells() {
		if cell.GetService() != service || cell.GetZone() != zone {
			continue
		}
		for i, p := range c.entries {
			if p.name == cell.GetEntry() {
				return i
			}
		}
	}
	c.t.Fatalf("no entry VM dispatches %s in %s", service, zone)
	return 0
}

// zoneOf returns the availability zone of an upstream.
func zoneOf(ups []*Upstream, id string) string {
	for _, u := range ups {
		if u.ID() == id {
			return u.opts.Zone
		}
	}
	return ""
}
