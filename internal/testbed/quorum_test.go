package testbed

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times of the test without a control quorum. Traffic goes on for several
// times the lease of a configuration.
const (
	withoutQuorum = 10 * time.Second
	shortWait     = "2s"
)

// TestTrafficWithoutControlQuorum kills two of three control VMs. Traffic goes
// on, changes are refused, and a restarted entry VM serves again.
func TestTrafficWithoutControlQuorum(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.configure()
	c.startUpstreams(4)
	c.awaitServing("call")
	load := startTraffic(c, 4)
	c.controls[0].kill()
	c.controls[1].kill()
	time.Sleep(withoutQuorum)
	out, err := c.admin("service", "put", "proofs", "--path-prefix", "/proofs", "--wait", shortWait)
	assert.Assert(t, err != nil, "a change without a quorum ended well: %s", out)
	assert.Assert(t, !strings.Contains(out, "accepted: "), out)
	before := load.answered.Load()
	waitFor(t, "answers without a quorum", func() string {
		if load.answered.Load() < before+100 {
			return "too few answers"
		}
		return ""
	})
	bad := load.stop()
	t.Logf("answered %d, refused as not run %d", load.answered.Load(), load.refused.Load())
	assert.Assert(t, len(bad) == 0, "%d calls cut: %v", len(bad), bad)

	c.entries[4].kill()
	c.entries[4].start()
	waitFor(t, "call through a restarted entry VM without a quorum", func() string { return c.serves(4) })

	c.controls[0].start()
	c.controls[1].start()
	c.mustAdmin("service", "put", "proofs", "--path-prefix", "/proofs")
	c.checkServices([]string{"booking", "proofs"})
	c.awaitServing("call after the return")
}
