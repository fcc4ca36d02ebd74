package testbed

import (
	"context"
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

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/organisation"
)

const (
	// revokeWithin is revoke_within_ms of the gateways.
	revokeWithin = 3 * time.Second
	removedKey   = "removed-key"
	keptKey      = "kept-key"
	// callsAfterRemoval is the number of calls that are sent with a removed key.
	callsAfterRemoval = 40
)

// newKeyedSystem starts control and gateway processes and an upstream, with a desired
// state in which one organisation holds removedKey and keptKey.
func newKeyedSystem(t *testing.T, controls int) *gatewaySystem {
	t.Helper()
	s := newGatewaySystem(t, controls, fmt.Sprintf("revoke_within_ms = %d\n", revokeWithin.Milliseconds()))
	s.startRecordingUpstreams(1, func(*http.Request) upstreamAnswer { return answerOK })
	s.applyKeys(2, removedKey, keptKey)
	s.addGateway()
	s.awaitRegistered(1)
	s.awaitKey(removedKey)
	return s
}

// applyKeys applies a desired state in which the organisation holds the keys.
func (s *gatewaySystem) applyKeys(version uint64, keys ...string) {
	s.t.Helper()
	state := &catalogpb.DesiredState{
		Version: version,
		Routes: []*catalogpb.Route{{
			Name: "safe", Host: gatewayHost, PathPrefix: "/safe/", Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE,
			TimeoutMs: uint32(gatewayTimeout.Milliseconds()), MaxAttempts: gatewayMaxAttempts,
			Shares: []*catalogpb.RouteShare{{Pool: gatewayPool, Weight: 1}},
		}},
		Pools:         []*catalogpb.Pool{{Name: gatewayPool, HealthPath: "/health", MaxConnections: 300, ColdPerS: 15}},
		Organisations: []*catalogpb.Organisation{{Name: "a", KeyDigests: organisation.Digests(keys)}},
	}
	s.askControl("desired state with organisations", func(ctx context.Context, a adminpb.Admin) error {
		_, err := a.ApplyState(ctx, &adminpb.ApplyStateRequest{State: state})
		return err
	})
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
	attempt := 0
	waitFor(s.t, "service of calls with "+key, func() string {
		attempt++
		status, err := s.sendWithKey(fmt.Sprint("await-", key, attempt), key)
		if err != nil {
			return err.Error()
		}
		if status != http.StatusOK {
			return fmt.Sprint("status ", status)
		}
		return ""
	})
}

// checkNoneRan checks that no request whose ID has the prefix reached an upstream.
func (s *gatewaySystem) checkNoneRan(prefix string) {
	s.t.Helper()
	s.traffic.mu.Lock()
	defer s.traffic.mu.Unlock()
	ran := slices.DeleteFunc(slices.Clone(s.traffic.arrivals), func(a arrivalAtUpstream) bool { return !strings.HasPrefix(a.request, prefix) })
	assert.Equal(s.t, len(ran), 0, "requests ran with a removed key: %v", ran)
}

// TestFrozenGatewayRunsNothingWithARemovedKey guards against a gateway that acts on
// keys from before a freeze. It is suspended while a key is removed, and resumes with
// calls at its socket that were sent after the bound.
func TestFrozenGatewayRunsNothingWithARemovedKey(t *testing.T) {
	s := newKeyedSystem(t, 1)
	s.entries[0].signal(syscall.SIGSTOP)
	s.applyKeys(3, keptKey)
	time.Sleep(revokeWithin)
	var callers conc.WaitGroup
	for i := range callsAfterRemoval {
		callers.Go(func() { _, _ = s.sendWithKey(fmt.Sprint("late-", i), removedKey) })
	}
	time.Sleep(queueingDelay)
	s.entries[0].signal(syscall.SIGCONT)
	callers.Wait()
	for i := range callsAfterRemoval {
		_, _ = s.sendWithKey(fmt.Sprint("late-resumed-", i), removedKey)
	}
	s.checkNoneRan("late-")
	s.awaitKey(keptKey)
}

// TestRemovedKeyStaysRemoved guards against a key that comes back with a restart, or
// with the old disk of a control VM, while gateways start.
func TestRemovedKeyStaysRemoved(t *testing.T) {
	for _, oldDisk := range []bool{false, true} {
		t.Run(fmt.Sprintf("old disk=%v", oldDisk), func(t *testing.T) {
			s := newKeyedSystem(t, 3)
			s.awaitReplicated()
			old := t.TempDir()
			if oldDisk {
				s.controls[0].kill()
				assert.NilError(t, os.CopyFS(old+"/disk", os.DirFS(s.dataDir(0))))
				s.controls[0].start()
			}
			s.applyKeys(3, keptKey)
			s.awaitReplicated()
			time.Sleep(revokeWithin)

			var stop atomic.Bool
			var callers conc.WaitGroup
			callers.Go(func() {
				for i := 0; !stop.Load(); i++ {
					_, _ = s.sendWithKey(fmt.Sprint("late-", i), removedKey)
					time.Sleep(5 * time.Millisecond)
				}
			})
			restarted := append(slices.Clone(s.controls), s.entries...)
			if oldDisk {
				restarted = []*process{s.controls[0], s.entries[0]}
			}
			for _, p := range restarted {
				p.kill()
			}
			if oldDisk {
				assert.NilError(t, os.RemoveAll(s.dataDir(0)))
				assert.NilError(t, os.CopyFS(s.dataDir(0), os.DirFS(old+"/disk")))
			}
			for _, p := range restarted {
				p.start()
			}
			s.awaitKey(keptKey)
			stop.Store(true)
			callers.Wait()
			s.checkNoneRan("late-")
		})
	}
}
