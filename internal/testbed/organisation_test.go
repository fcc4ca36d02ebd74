package testbed

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/organisation"
)

const (
	// revokeWithin is revoke_within_ms of the gateway.
	revokeWithin = 3 * time.Second
	removedKey   = "removed-key"
	keptKey      = "kept-key"
)

// applyKeys applies a desired state in which an organisation holds the keys.
func (s *gatewaySystem) applyKeys(version uint64, keys ...string) {
	s.t.Helper()
	state := gatewayState(version)
	state.Organisations = []*catalogpb.Organisation{{Name: "a", KeyDigests: organisation.Digests(keys)}}
	s.applyState(state)
}

// sendWithKey sends a call to the first gateway on a new connection.
func (s *gatewaySystem) sendWithKey(id, key string) (int, error) {
	c := &gatewayCaller{conns: make(map[string]net.Conn)}
	defer c.close()
	return c.send(s.callers[0], "/safe/"+id, id, "Balsam-Api-Key: "+key+"\r\n")
}

// awaitKey waits until the first gateway serves calls with the key.
func (s *gatewaySystem) awaitKey(key string) {
	s.t.Helper()
	waitFor(s.t, "service of calls with "+key, func() string {
		if status, err := s.sendWithKey("await", key); err != nil || status != http.StatusOK {
			return fmt.Sprint("status ", status, ", error ", err)
		}
		return ""
	})
}

// TestRemovedKeyStaysRemoved guards against requests with a key that was removed before
// a freeze of the gateway ends, all processes are restarted, or a gateway starts while
// a control VM has come back with an old disk. Callers send them from the bound on.
func TestRemovedKeyStaysRemoved(t *testing.T) {
	for _, failure := range []string{"freeze", "restart", "old disk"} {
		t.Run(failure, func(t *testing.T) {
			s := newGatewaySystem(t, 3, fmt.Sprintf("revoke_within_ms = %d\n", revokeWithin.Milliseconds()))
			s.startRecordingUpstreams(1, func(*http.Request) upstreamAnswer { return answerOK })
			s.applyKeys(2, removedKey, keptKey)
			s.addGateway()
			s.awaitRegistered(1)
			s.awaitKey(removedKey)
			s.awaitReplicated()
			old := t.TempDir() + "/disk"
			switch failure {
			case "freeze":
				s.entries[0].signal(syscall.SIGSTOP)
			case "old disk":
				s.controls[0].kill()
				assert.NilError(t, os.CopyFS(old, os.DirFS(s.dataDir(0))))
				s.controls[0].start()
			}
			s.applyKeys(3, keptKey)
			s.awaitReplicated()
			time.Sleep(revokeWithin)

			var stop atomic.Bool
			var callers conc.WaitGroup
			for i := range concurrentCalls {
				callers.Go(func() {
					for k := 0; !stop.Load(); k++ {
						_, _ = s.sendWithKey(fmt.Sprintf("late-%d-%d", i, k), removedKey)
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			time.Sleep(queueingDelay)
			restarted := append(slices.Clone(s.controls), s.entries...)
			switch failure {
			case "freeze":
				s.entries[0].signal(syscall.SIGCONT)
				restarted = nil
			case "old disk":
				restarted = []*process{s.controls[0], s.entries[0]}
			}
			for _, p := range restarted {
				p.kill()
			}
			if failure == "old disk" {
				assert.NilError(t, os.RemoveAll(s.dataDir(0)))
				assert.NilError(t, os.CopyFS(s.dataDir(0), os.DirFS(old)))
			}
			for _, p := range restarted {
				p.start()
			}
			s.awaitKey(keptKey)
			stop.Store(true)
			callers.Wait()
			s.traffic.mu.Lock()
			defer s.traffic.mu.Unlock()
			for _, a := range s.traffic.arrivals {
				assert.Assert(t, !strings.HasPrefix(a.request, "late-"), "a request ran with a removed key")
			}
		})
	}
}
