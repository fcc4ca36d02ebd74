package testbed

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// servesWithin is the time after a restart within which calls are served again.
const servesWithin = 5 * time.Second

// TestRestartedDevServerServesAgain restarts `balsamcourse dev` with the same data: its
// entry VM comes back under its ID at another cluster address, while the set of
// entry VMs holds only the process before.
func TestRestartedDevServerServesAgain(t *testing.T) {
	free, err := FreeAddresses(4)
	assert.NilError(t, err)
	p := &process{t: t, Process: &Process{Name: "dev", Program: binary, Log: filepath.Join(t.TempDir(), "dev.log"), Args: []string{
		"dev", "--data-dir", filepath.Join(t.TempDir(), "data"), "--caller-listen", free[0], "--operator-listen", free[1],
		"--announce-listen", free[2], "--metrics-listen", free[3],
	}}}
	t.Cleanup(func() {
		if p.Started() {
			p.kill()
		}
	})
	hello := func() string {
		resp, err := http.Get("http://" + free[0] + "/demo/hello")
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			return resp.Status + " " + string(body)
		}
		return ""
	}
	p.start()
	waitFor(t, "first start", hello)
	for i, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGTERM, syscall.SIGKILL} {
		p.signal(sig)
		_ = p.Wait()
		p.start()
		start := time.Now()
		waitFor(t, "restart", hello)
		took := time.Since(start)
		t.Logf("restart %d after %s: served after %s", i+1, sig, took.Round(10*time.Millisecond))
		assert.Assert(t, took < servesWithin, "served after %s", took)
	}
}

// moveEntry gives the entry VM, which must be stopped, another cluster address.
func (c *cluster) moveEntry(i int) {
	c.t.Helper()
	path := c.entries[i].Args[len(c.entries[i].Args)-1]
	text, err := os.ReadFile(path)
	assert.NilError(c.t, err)
	address := freeAddress(c.t)
	lines := strings.Split(string(text), "\n")
	for n, line := range lines {
		for _, key := range []string{"cluster_listen", "cluster_address"} {
			if strings.HasPrefix(line, key+" ") {
				lines[n] = key + ` = "` + address + `"`
			}
		}
	}
	assert.NilError(c.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600))
}

// TestEntryVMsComeBackAtOtherAddresses lets entry VMs come back under their IDs at
// other addresses, as after VMs were replaced: one of several, a majority, all, with
// control kept and restarted. Calls must be served again without an operator.
func TestEntryVMsComeBackAtOtherAddresses(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.configureBooking()
	c.startUpstreams(2)
	c.awaitServing("call")
	for _, tc := range []struct {
		name    string
		entries []int
		control bool
	}{
		{"one", []int{0}, false},
		{"a majority", []int{0, 1}, false},
		{"all", []int{0, 1, 2}, false},
		{"one, with control", []int{1}, true},
		{"all, with control", []int{0, 1, 2}, true},
	} {
		for _, i := range tc.entries {
			c.entries[i].kill()
			c.moveEntry(i)
		}
		if tc.control {
			for _, p := range c.controls {
				p.kill()
				p.start()
			}
		}
		start := time.Now()
		for _, i := range tc.entries {
			c.entries[i].start()
		}
		for i := range c.entries {
			waitFor(t, tc.name, func() string { return c.servingProblem(i) })
		}
		t.Logf("%s: all serve after %s", tc.name, time.Since(start).Round(10*time.Millisecond))
	}
}
