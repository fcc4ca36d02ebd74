package testbed

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// buildCommit builds the program of an earlier commit from the history of the
// repository and returns its path. Without that history the test is not run.
func buildCommit(t *testing.T, commit string) string {
	t.Helper()
	dir := t.TempDir()
	archive := filepath.Join(dir, "source.tar")
	if out, err := exec.Command("git", "-C", "../..", "archive", "--output", archive, commit).CombinedOutput(); err != nil {
		t.Skipf("NOT RUN: commit %s is not in the history here: %s", commit, out)
	}
	source := filepath.Join(dir, "source")
	assert.NilError(t, os.Mkdir(source, 0o700))
	out, err := exec.Command("tar", "-x", "-f", archive, "-C", source).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	program := filepath.Join(dir, "balsamcourse")
	build := exec.Command("go", "build", "-o", program, "./cmd/balsamcourse")
	build.Dir = source
	out, err = build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return program
}

// TestUpgradeInAnyOrderAndBack runs the program of an earlier commit and the present one
// side by side: VMs are replaced one after the other under load, control first or
// gateways first, half of them go back and forward again. Meanwhile a desired state
// comes into force, and an upstream leaves.
func TestUpgradeInAnyOrderAndBack(t *testing.T) {
	commits, err := CompatibleCommits("../..")
	assert.NilError(t, err)
	for _, commit := range commits {
		t.Run(commit, func(t *testing.T) {
			t.Parallel()
			old := buildCommit(t, commit)
			for name, controlFirst := range map[string]bool{"control first": true, "gateways first": false} {
				t.Run(name, func(t *testing.T) { upgrade(t, old, controlFirst) })
			}
		})
	}
}

// upgrade replaces the old program on all VMs by the present one.
func upgrade(t *testing.T, old string, controlFirst bool) {
	s := newMixedSystem(t, old)
	var mu sync.Mutex
	counts := make(map[string]int)
	s.startRecordingUpstreams(3, func(r *http.Request) upstreamAnswer {
		mu.Lock()
		defer mu.Unlock()
		counts[r.Header.Get("Balsam-Expect-Upstream")]++
		return answerOK
	})
	count := func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return counts[id]
	}
	for i := range s.entries {
		s.awaitGateway(i)
	}
	s.awaitRegistered(len(s.entries))
	stop := s.startCallers(8, "/safe/", 10*time.Millisecond, 1)
	order := append(append([]*process(nil), s.entries...), s.controls...)
	if controlFirst {
		order = append(append([]*process(nil), s.controls...), s.entries...)
	}
	replace := func(p *process, program string) {
		assert.NilError(t, p.stop())
		p.Program = cmp.Or(program, binary)
		starts := p.countStarts()
		p.start()
		waitFor(t, "start of "+p.Name, func() string {
			if p.countStarts() == starts {
				return "not logged"
			}
			return ""
		})
		for i := range s.entries {
			s.awaitGateway(i)
		}
		s.awaitReplicated()
	}
	for i, p := range order {
		replace(p, "")
		if i != len(order)/2 {
			continue
		}
		// Half of the VMs run the present program: changes must reach all, and the
		// upgrade goes back and forth.
		s.applyRouteTo("/other/", 2)
		s.announceDraining("up-1")
		s.flipZone()
		time.Sleep(takeOutTime)
		before := count("up-1")
		replace(p, old)
		replace(order[0], old)
		replace(order[0], "")
		replace(p, "")
		assert.Equal(t, count("up-1"), before, "requests reached an upstream that had left")
	}
	for i := range s.entries {
		waitFor(t, "new route", func() string {
			c := &gatewayCaller{conns: make(map[string]net.Conn)}
			defer c.close()
			status, err := c.send(s.callers[i], "/other/x", "other", "")
			if err != nil || status != http.StatusOK {
				return "status of the new route"
			}
			return ""
		})
	}
	stop()
	s.flipZone()
	s.traffic.mu.Lock()
	defer s.traffic.mu.Unlock()
	t.Logf("answers: %v", s.traffic.answers)
	assert.Assert(t, s.traffic.answers["200"] > 100)
	// Callers here do not heed look-ups: they meet gateways that are stopped.
	for status := range s.traffic.answers {
		assert.Check(t, status == "200" || status == "503" || status == "no answer", "status %s", status)
	}
	assert.Check(t, count("up-2") > 0 && count("up-3") > 0)
}

// countStarts returns the number of starts that the log of the process holds.
func (p *process) countStarts() int {
	p.t.Helper()
	text, err := os.ReadFile(p.Log)
	assert.NilError(p.t, err)
	return strings.Count(string(text), `"name":"started"`)
}

// newMixedSystem starts three control VMs and two gateways with the program.
func newMixedSystem(t *testing.T, program string) *gatewaySystem {
	t.Helper()
	s := newGatewaySystemOf(t, program, 3, "serve_ms = 300\nstop_ms = 2000\n")
	for range 2 {
		s.addGateway()
	}
	return s
}

// flipZone takes a zone without VMs out and brings it back, each through all control VMs
// one after the other.
func (s *gatewaySystem) flipZone() {
	s.t.Helper()
	for _, out := range []bool{true, false, true} {
		for _, a := range newOperatorClient(s.cluster, "tester", operatorKey).clients {
			waitFor(s.t, "order for a zone", func() string {
				ctx, cancel := context.WithTimeout(s.t.Context(), operatorPatience)
				defer cancel()
				if _, err := a.SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "spare", Out: out}}); err != nil {
					return err.Error()
				}
				resp, err := a.GetConfig(ctx, &adminpb.GetConfigRequest{})
				if err != nil {
					return err.Error()
				}
				for _, z := range resp.Config.Zones {
					if z.Name == "spare" && (z.State == catalogpb.ZoneState_ZONE_STATE_OUT) == out {
						return ""
					}
				}
				return "acknowledged, but not in effect"
			})
		}
	}
}

// applyRouteTo applies a desired state with one more route.
func (s *gatewaySystem) applyRouteTo(prefix string, version uint64) {
	s.t.Helper()
	state := &catalogpb.DesiredState{Version: version, Pools: []*catalogpb.Pool{{Name: gatewayPool, HealthPath: "/health", MaxConnections: 300, ColdPerS: 15}}}
	for name, path := range map[string]string{"safe": "/safe/", "added": prefix} {
		state.Routes = append(state.Routes, &catalogpb.Route{
			Name: name, Host: gatewayHost, PathPrefix: path, Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE,
			TimeoutMs: uint32(gatewayTimeout.Milliseconds()), TargetLatencyMs: uint32(gatewayTimeout.Milliseconds() / 2),
			MaxAttempts: gatewayMaxAttempts, Shares: []*catalogpb.RouteShare{{Pool: gatewayPool, Weight: 1}},
		})
	}
	s.askControl("desired state", func(ctx context.Context, a adminpb.Admin) error {
		_, err := a.ApplyState(ctx, &adminpb.ApplyStateRequest{State: state})
		return err
	})
}
