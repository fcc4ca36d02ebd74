package testbed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// takeOutTime is the time after which an availability zone that was taken out
// receives no more requests.
const takeOutTime = 2 * time.Second

// TestRollingRestartCutsNoCall guards against calls that are cut off when entry
// VMs and control VMs are shut down gracefully and restarted one after the other
// under load.
func TestRollingRestartCutsNoCall(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configureBooking()
	c.startUpstreams(4)
	c.awaitServing("call")
	load := startTraffic(c, 4)
	for i, p := range c.entries {
		assert.NilError(t, p.stop())
		p.start()
		waitFor(t, "call after a restart", func() string { return c.servingProblem(i) })
	}
	for _, p := range c.controls {
		assert.NilError(t, p.stop())
		p.start()
		c.mustAdmin("service", "put", "proofs", "--path-prefix", "/proofs")
	}
	bad := load.stop()
	t.Logf("answered %d, rejected as not run %d", load.answered.Load(), load.rejected.Load())
	assert.Assert(t, len(bad) == 0, "%d calls failed, %d answered: %v", len(bad), load.answered.Load(), bad)
	assert.Assert(t, load.answered.Load() > 0)
}

// TestZoneTakenOutReceivesNoRequests guards against requests to an availability
// zone that was taken out under load, and against failed calls meanwhile and
// after it is brought back.
func TestZoneTakenOutReceivesNoRequests(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configureBooking()
	ups := c.startUpstreams(4)
	c.awaitServing("call")
	load := startTraffic(c, 4)
	c.mustAdmin("zone", "take-out", "b")
	time.Sleep(takeOutTime)
	before := runsInZone(ups, "b")
	rest := runsInZone(ups, "a")
	waitFor(t, "requests in the other availability zone", func() string {
		if runsInZone(ups, "a") < rest+100 {
			return "fewer than 100 more runs"
		}
		return ""
	})
	assert.Equal(t, runsInZone(ups, "b"), before, "requests ran in zone b after the change that takes it out was accepted")
	c.mustAdmin("zone", "bring-back", "b")
	waitFor(t, "requests after the zone is brought back", func() string {
		if runsInZone(ups, "b") == before {
			return "no more runs in the zone"
		}
		return ""
	})
	time.Sleep(lookupValidity)
	bad := load.stop()
	t.Logf("answered %d, rejected as not run %d", load.answered.Load(), load.rejected.Load())
	assert.Assert(t, len(bad) == 0, "%d calls failed: %v", len(bad), bad)
	for _, u := range ups {
		assert.Equal(t, u.ColdLimitBreaches.Load(), int64(0), "more requests in flight than the cold limit at upstream %s", u.ID())
	}
}

// runsInZone returns the number of runs at the upstreams of a zone.
func runsInZone(ups []*Upstream, zone string) int64 {
	var n int64
	for _, u := range ups {
		if u.opts.Zone == zone {
			n += u.Runs.Load()
		}
	}
	return n
}
