package testbed

import (
	"io"
	"net"
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
	p, free := newDevServer(t)
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
	waitFor(t, "first start", func() string {
		select {
		case err := <-p.done:
			p.done <- err
			text, _ := os.ReadFile(p.Log)
			if !strings.Contains(string(text), "address already in use") {
				return "the dev server has ended: " + string(text)
			}
			// Another process has taken an address since it was found to be free.
			p, free = newDevServer(t)
			p.start()
		default:
		}
		return hello()
	})
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

// newDevServer returns a dev server that is not started, with the addresses of callers,
// operators, announcements and metrics. If the test fails, its output and its log are
// shown.
func newDevServer(t *testing.T) (*process, []string) {
	free, err := FreeAddresses(4)
	assert.NilError(t, err)
	dir := t.TempDir()
	p := &process{t: t, Process: &Process{Name: "dev", Program: binary, Log: filepath.Join(dir, "dev.log"), Args: []string{
		"dev", "--data-dir", filepath.Join(dir, "data"), "--caller-listen", free[0], "--operator-listen", free[1],
		"--announce-listen", free[2], "--metrics-listen", free[3],
	}}}
	t.Cleanup(func() {
		if p.Started() {
			p.kill()
		}
		for _, path := range []string{p.Log, filepath.Join(dir, "data", "events.log")} {
			if text, err := os.ReadFile(path); t.Failed() && err == nil {
				t.Logf("%s:\n%s", filepath.Base(path), text[max(0, len(text)-8<<10):])
			}
		}
	})
	return p, free
}

// TestDevServerWithoutAddressEndsAtOnce guards against a dev server that refuses
// connections and says nothing, because one of its parts could not listen and the others
// wait for it.
func TestDevServerWithoutAddressEndsAtOnce(t *testing.T) {
	for i, part := range []string{"entry VM", "control replica", "entry VM", "entry VM"} {
		p, free := newDevServer(t)
		taken, err := net.Listen("tcp", free[i])
		assert.NilError(t, err)
		start := time.Now()
		p.start()
		assert.Assert(t, p.Wait() != nil, "the dev server ended without an error")
		took := time.Since(start)
		assert.NilError(t, taken.Close())
		out, err := os.ReadFile(p.Log)
		assert.NilError(t, err)
		assert.Assert(t, took < servesWithin && strings.Contains(string(out), part+":") && strings.Contains(string(out), free[i]), "%s: ended after %s with %s", part, took, out)
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
