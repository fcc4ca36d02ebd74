package testbed

import (
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	waitingCalls = 16
	queueTime    = 500 * time.Millisecond
)

// TestFrozenEntryAdmitsNothingOld stops an entry VM's process, takes an
// availability zone out, and lets the process go on with calls already waiting
// at its socket. None of them may reach that zone.
func TestFrozenEntryAdmitsNothingOld(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configure()
	ups := c.startUpstreams(4)
	for i := range c.entries {
		waitFor(t, "call", func() string { return c.serves(i) })
	}
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
