package testbed

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	servicesBeforeLoss = 8
	// observationTime is how long a wiped replica gets to wrongly rejoin.
	observationTime = 4 * time.Second
	replaceWait     = "30s"
)

// missingEvent returns an empty string when the process has logged the event,
// otherwise what is missing.
func (p *process) missingEvent(event int) string {
	data, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	if !strings.Contains(string(data), fmt.Sprintf(`"event":%d,`, event)) {
		return fmt.Sprintf("no event %d in the log", event)
	}
	return ""
}

// putServices creates n services and returns their names.
func (c *cluster) putServices(prefix string, n int) []string {
	c.t.Helper()
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", prefix, i)
		c.mustAdmin("service", "put", names[i], "--path-prefix", "/"+names[i])
	}
	return names
}

// checkServices checks that the configuration contains the services.
func (c *cluster) checkServices(names []string) {
	c.t.Helper()
	var list string
	waitFor(c.t, "service list", func() string {
		out, err := c.admin("service", "list")
		list = out
		if err != nil {
			return out
		}
		return ""
	})
	for _, name := range names {
		assert.Assert(c.t, strings.Contains(list, name+" "), "accepted service %s is missing from the service list:\n%s", name, list)
	}
}

// addControl starts a control process with a new replica id that joins the
// existing group.
func (c *cluster) addControl() *process {
	c.t.Helper()
	i := len(c.controls)
	c.controlCluster = append(c.controlCluster, freeAddress(c.t))
	c.controlOperator = append(c.controlOperator, freeAddress(c.t))
	c.controlSettings += "join = true\n"
	p := c.newControl(i)
	c.controls = append(c.controls, p)
	p.start()
	return p
}

// TestAcceptedServicesSurviveReplacementOfWipedReplicaAndSecondLoss guards
// against losing accepted changes when a replica restarts with an empty disk,
// is replaced under a new replica id, and another control VM is killed as soon
// as the replacement is reported complete. A wiped replica that took part
// again, or a replacement that was reported complete too early, would leave no
// quorum that holds the changes.
func TestAcceptedServicesSurviveReplacementOfWipedReplicaAndSecondLoss(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.configureBooking()
	names := c.putServices("early", servicesBeforeLoss)

	wiped := c.controls[1]
	wiped.kill()
	assert.NilError(t, os.RemoveAll(c.dataDir(1)))
	wiped.start()
	waitFor(t, "wiped replica to log event 205", func() string { return wiped.missingEvent(205) })
	names = append(names, c.putServices("without", 2)...)
	c.checkWipedReplicaIsNotLive()
	wiped.kill()

	added := c.addControl()
	added.signal(syscall.SIGSTOP)
	out, err := c.replaceWipedReplica(shortAcceptWait)
	assert.Assert(t, err != nil, "replacement was reported complete while the new replica was suspended:\n%s", out)
	added.signal(syscall.SIGCONT)
	waitFor(t, "replacement of the wiped replica", func() string {
		out, err := c.replaceWipedReplica(replaceWait)
		if err != nil {
			return out
		}
		return ""
	})
	c.controls[0].kill()
	names = append(names, c.putServices("late", 2)...)
	c.checkServices(names)
}

// replaceWipedReplica replaces replica 2 by replica 4.
func (c *cluster) replaceWipedReplica(wait string) (string, error) {
	return c.admin("member", "add", "4", "--address", c.controlCluster[3], "--zone", zones[3], "--replaces", "2", "--wait", wait)
}

// checkWipedReplicaIsNotLive fails when the member list shows the wiped replica
// as live, or does not show it.
func (c *cluster) checkWipedReplicaIsNotLive() {
	c.t.Helper()
	time.Sleep(observationTime)
	var list string
	waitFor(c.t, "member list", func() string {
		out, err := c.admin("member", "list")
		list = out
		if err != nil {
			return out
		}
		return ""
	})
	for _, line := range strings.Split(list, "\n") {
		f := strings.Fields(line)
		if len(f) == 6 && f[0] == "2" {
			assert.Equal(c.t, f[4], "false", "wiped replica is listed as live:\n%s", list)
			return
		}
	}
	c.t.Fatalf("replica 2 is missing from the member list:\n%s", list)
}
