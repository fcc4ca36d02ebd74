package testbed

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Size of the test of a lost disk.
const (
	earlyServices = 8
	inertTime     = 4 * time.Second
	repairWait    = "30s"
)

// logged reports whether the process has logged the event.
func (p *process) logged(event int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	if !strings.Contains(string(data), fmt.Sprintf(`"event":%d,`, event)) {
		return fmt.Sprintf("no event %d in the log", event)
	}
	return ""
}

// putServices creates services and returns their names.
func (c *cluster) putServices(prefix string, n int) []string {
	c.t.Helper()
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("%s-%d", prefix, i)
		c.mustAdmin("service", "put", names[i], "--path-prefix", "/"+names[i])
	}
	return names
}

// checkServices reads the configuration and looks for the services.
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
		assert.Assert(c.t, strings.Contains(list, name+" "), "accepted service %s is gone from\n%s", name, list)
	}
}

// addControl adds a control process under a new replica id that joins the
// others.
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

// TestWipedDiskThenSecondLoss wipes the disk of a control VM, replaces it under
// a new replica id, and loses another control VM as soon as the repair is
// reported complete.
func TestWipedDiskThenSecondLoss(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.configure()
	names := c.putServices("early", earlyServices)

	wiped := c.controls[1]
	wiped.kill()
	assert.NilError(t, os.RemoveAll(c.dataDir(1)))
	wiped.start()
	waitFor(t, "refusal of the wiped replica", func() string { return wiped.logged(205) })
	names = append(names, c.putServices("without", 2)...)
	c.checkInert()
	wiped.kill()

	c.addControl()
	waitFor(t, "repair", func() string {
		out, err := c.admin("member", "add", "4", "--address", c.controlCluster[3], "--zone", zones[3], "--replaces", "2", "--wait", repairWait)
		if err != nil {
			return out
		}
		return ""
	})
	c.controls[0].kill()
	names = append(names, c.putServices("late", 2)...)
	c.checkServices(names)
}

// checkInert fails when the wiped replica stands as live or has caught up.
func (c *cluster) checkInert() {
	c.t.Helper()
	time.Sleep(inertTime)
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
			assert.Equal(c.t, f[4], "false", "the wiped replica takes part:\n%s", list)
			return
		}
	}
	c.t.Fatalf("replica 2 is not listed:\n%s", list)
}
