package testbed

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

const (
	rolloutSettings = "rollout.share = 0.1\n"
	rolloutShare    = 0.1
	// rolloutSlack is the default of rollout.slack.
	rolloutSlack = 50
)

// versionRuns counts the requests that the upstreams of each software version ran.
type versionRuns struct {
	mu   sync.Mutex
	runs map[string]int
}

// count counts a request and returns its number among those of the version.
func (r *versionRuns) count(software string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[software]++
	return r.runs[software]
}

// take returns the counts and resets them.
func (r *versionRuns) take() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.runs
	r.runs = make(map[string]int)
	return taken
}

// startVersion starts and announces upstreams of a software version.
func (s *gatewaySystem) startVersion(software string, n int, runs *versionRuns, fails func(number int) bool) {
	s.t.Helper()
	for i := range n {
		u := &recordingUpstream{system: s, traffic: s.traffic, record: &catalogpb.Upstream{
			Id: fmt.Sprintf("%s-%d", software, i), Address: freeAddress(s.t), Zone: zones[i%len(zones)], Pool: gatewayPool,
			Slots: 8, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY, Sequence: 1, Software: software,
		}}
		u.answers = func(*http.Request) upstreamAnswer {
			time.Sleep(5 * time.Millisecond)
			if fails(runs.count(software)) {
				return answerFailure
			}
			return answerOK
		}
		u.start()
		s.t.Cleanup(func() { u.stop(true) })
		s.askControl("announcement", u.announce)
	}
}

// rollout returns the newest roll-out of the pool.
func (s *gatewaySystem) rollout() *catalogpb.Rollout {
	s.t.Helper()
	var r *catalogpb.Rollout
	s.askControl("read of the roll-out", func(ctx context.Context, a adminpb.Admin) error {
		resp, err := a.GetRollout(ctx, &adminpb.GetRolloutRequest{Pool: gatewayPool})
		r = resp.GetRollout()
		return err
	})
	return r
}

// TestRolloutOverProcesses guards against a roll-out that exposes callers to a bad version
// beyond the share, that uses a version before its order or after its roll-back, or that
// reads as completed while a gateway still uses the old version, which is stopped then.
func TestRolloutOverProcesses(t *testing.T) {
	never := func(int) bool { return false }
	for _, c := range []struct {
		name        string
		fails       func(int) bool
		want        catalogpb.RolloutState
		abandoned   string
		mayExceed   bool
		killGateway bool
	}{
		{"bad version", func(n int) bool { return n%3 == 0 }, catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, "v2", false, false},
		{"good version, a gateway is killed", never, catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED, "v1", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &gatewaySystem{cluster: newClusterOf(t, "", 3, 0, rolloutSettings), gatewaySettings: "[rollout]\nshare = 0.1\n", traffic: &gatewayTraffic{
				sent: make(map[string]sentRequest), answers: make(map[string]int),
			}}
			s.applyState(gatewayState(1))
			for range 4 {
				s.addGateway()
			}
			for i := range 4 {
				s.awaitGateway(i)
			}
			s.awaitRegistered(4)
			runs := &versionRuns{runs: make(map[string]int)}
			s.startVersion("v1", 6, runs, never)
			for i := range 4 {
				s.awaitServing(i, "/safe/x")
			}
			stop := s.startCallers(24, "/safe/x", 5*time.Millisecond, 1)
			defer stop()
			s.startVersion("v2", 6, runs, c.fails)
			time.Sleep(time.Second)
			assert.Equal(t, runs.take()["v2"], 0, "requests to the new version before the order")
			s.askControl("roll-out", func(ctx context.Context, a adminpb.Admin) error {
				_, err := a.StartRollout(ctx, &adminpb.StartRolloutRequest{Rollout: &catalogpb.StartRollout{Pool: gatewayPool, Target: "v2", DurationMs: 12_000}})
				return err
			})
			if c.killGateway {
				s.entries[1].kill()
				s.entries[1].start()
			}
			waitFor(t, "verdict", func() string {
				if r := s.rollout(); r.State != c.want {
					return fmt.Sprintf("state %v, reason %q", r.State, r.Reason)
				}
				return ""
			})
			seen := runs.take()
			t.Logf("until the verdict: %v", seen)
			if !c.mayExceed {
				most := rolloutShare*float64(seen["v1"]+seen["v2"]) + rolloutSlack
				assert.Assert(t, float64(seen["v2"]) <= most, "%d requests to the new version, at most %.0f allowed", seen["v2"], most)
			}
			// Requests that were sent before have ended.
			time.Sleep(time.Second)
			runs.take()
			time.Sleep(time.Second)
			seen = runs.take()
			t.Logf("after the verdict: %v", seen)
			assert.Equal(t, seen[c.abandoned], 0)
			assert.Assert(t, seen["v1"]+seen["v2"] > 0)
		})
	}
}
