package testbed

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// timeWithoutQuorum is several times the lease duration.
	timeWithoutQuorum = 10 * time.Second
	shortAcceptWait   = "2s"
)

// TestTrafficContinuesWithoutControlQuorum guards against an outage when two of
// three control VMs are killed: traffic continues, changes are not accepted, and
// a restarted entry VM serves again.
func TestTrafficContinuesWithoutControlQuorum(t *testing.T) {
	c := newCluster(t, 3, 5)
	c.configureBooking()
	c.startUpstreams(4)
	c.awaitServing("call")
	load := startTraffic(c, 4)
	c.controls[0].kill()
	c.controls[1].kill()
	time.Sleep(timeWithoutQuorum)
	out, err := c.admin("service", "put", "proofs", "--path-prefix", "/proofs", "--wait", shortAcceptWait)
	assert.Assert(t, err != nil, "a change succeeded without a control quorum: %s", out)
	assert.Assert(t, !strings.Contains(out, "accepted: "), out)
	before := load.answered.Load()
	waitFor(t, "answers without a quorum", func() string {
		if load.answered.Load() < before+100 {
			return "fewer than 100 more answers"
		}
		return ""
	})
	bad := load.stop()
	t.Logf("answered %d, rejected as not run %d", load.answered.Load(), load.rejected.Load())
	assert.Assert(t, len(bad) == 0, "%d calls failed: %v", len(bad), bad)

	c.entries[4].kill()
	c.entries[4].start()
	waitFor(t, "call through a restarted entry VM without a quorum", func() string { return c.servingProblem(4) })

	c.controls[0].start()
	c.controls[1].start()
	c.mustAdmin("service", "put", "proofs", "--path-prefix", "/proofs")
	c.checkServices([]string{"booking", "proofs"})
	c.awaitServing("call after the control VMs have restarted")
}
