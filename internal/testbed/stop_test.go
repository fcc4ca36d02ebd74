package testbed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// departure is the time after which an availability zone that was taken out
// receives nothing any more.
const departure = 2 * time.Second

// TestRollingRestartCutsNothing restarts every entry VM and every control VM
// by planned stops under load.
func TestRollingRestartCutsNothing(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configure()
	c.startUpstreams(4)
	c.awaitServing("call")
	load := startTraffic(c, 4)
	for i, p := range c.entries {
		assert.NilError(t, p.stop())
		p.start()
		waitFor(t, "call after a restart", func() string { return c.serves(i) })
	}
	for _, p := range c.controls {
		assert.NilError(t, p.stop())
		p.start()
		c.mustAdmin("service", "put", "proofs", "--path-prefix", "/proofs")
	}
	bad := load.stop()
	t.Logf("answered %d, refused as not run %d", load.answered.Load(), load.refused.Load())
	assert.Assert(t, len(bad) == 0, "%d of %d calls cut: %v", len(bad), load.answered.Load(), bad)
	assert.Assert(t, load.answered.Load() > 0)
}

// TestZoneOutReceivesNothing takes an availability zone out under load and
// brings it back.
func TestZoneOutReceivesNothing(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configure()
	ups := c.startUpstreams(4)
	c.awaitServing("call")
	load := startTraffic(c, 4)
	c.mustAdmin("zone", "take-out", "b")
	time.Sleep(departure)
	before := runsIn(ups, "b")
	rest := runsIn(ups, "a")
	waitFor(t, "work in the other availability zone", func() string {
		if runsIn(ups, "a") < rest+100 {
			return "too few runs"
		}
		return ""
	})
	assert.Equal(t, runsIn(ups, "b"), before, "runs in an availability zone after its departure was accepted")
	c.mustAdmin("zone", "bring-back", "b")
	waitFor(t, "work after the return", func() string {
		if runsIn(ups, "b") == before {
			return "no runs"
		}
		return ""
	})
	time.Sleep(answerFor)
	bad := load.stop()
	t.Logf("answered %d, refused as not run %d", load.answered.Load(), load.refused.Load())
	assert.Assert(t, len(bad) == 0, "calls lost: %v", bad)
	for _, u := range ups {
		assert.Equal(t, u.ColdLimitBreaches.Load(), int64(0), "cold bound broken at %s", u.ID())
	}
}

func runsIn(ups []*Upstream, zone string) int64 {
	var n int64
	for _, u := range ups {
		if u.opts.Zone == zone {
			n += u.Runs.Load()
		}
	}
	return n
}
