package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// longWork is the time of the work that runs while VMs are silent.
	longWork = 6 * time.Second
	// silence is longer than a lease, and than the time after which control counts a
	// VM as silent.
	silence = 4 * time.Second
)

// runDuringSilence sends n requests at once, suspends the processes while these run,
// and returns the statuses of their answers.
func runDuringSilence(n int, send func(i int) int, silent []*process) []int {
	statuses := make([]int, n)
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() { statuses[i] = send(i) })
	}
	time.Sleep(time.Second)
	for _, p := range silent {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(silence)
	for _, p := range silent {
		p.signal(syscall.SIGCONT)
	}
	calls.Wait()
	return statuses
}

// TestWorkGoesOnWhileVMsAreSilent suspends control VMs, other gateways and the gateway
// itself while requests run at upstreams. The requests may be repeated, but nothing is
// known to have failed: each must run once and be answered.
func TestWorkGoesOnWhileVMsAreSilent(t *testing.T) {
	t.Parallel()
	s := newGatewaySystem(t, 3, "")
	s.addGateway()
	s.addGateway()
	state := &catalogpb.DesiredState{
		Version: 2,
		Routes: []*catalogpb.Route{{
			Name: "safe", Host: gatewayHost, PathPrefix: "/safe/", Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE,
			TimeoutMs: 30_000, TargetLatencyMs: 20_000, MaxAttempts: 3, Shares: []*catalogpb.RouteShare{{Pool: gatewayPool, Weight: 1}},
		}},
		Pools: []*catalogpb.Pool{{Name: gatewayPool, HealthPath: "/health", MaxConnections: 300, ColdPerS: 15}},
	}
	s.askControl("desired state", func(ctx context.Context, a adminpb.Admin) error {
		_, err := a.ApplyState(ctx, &adminpb.ApplyStateRequest{State: state})
		return err
	})
	const shortWork = "/safe/short"
	var mu sync.Mutex
	runs := make(map[string]int)
	s.startRecordingUpstreams(4, func(r *http.Request) upstreamAnswer {
		if r.URL.Path == shortWork {
			return answerOK
		}
		mu.Lock()
		runs[r.URL.Path]++
		mu.Unlock()
		time.Sleep(longWork)
		return answerOK
	})
	s.awaitServing(0, shortWork)
	s.awaitRegistered(2)
	for name, silent := range map[string][]*process{
		"control":           s.controls,
		"another gateway":   {s.entries[1]},
		"the gateway":       {s.entries[0]},
		"all but upstreams": append([]*process{s.entries[0], s.entries[1]}, s.controls...),
	} {
		t.Run(name, func(t *testing.T) {
			const calls = 8
			path := func(i int) string { return fmt.Sprintf("/safe/%s/%d", name[:3], i) }
			statuses := runDuringSilence(calls, func(i int) int {
				r, err := http.NewRequest(http.MethodGet, "http://"+s.callers[0]+path(i), nil)
				assert.Check(t, err == nil)
				r.Host = gatewayHost
				r.Header.Set("Balsam-Request-Id", fmt.Sprint(name[:3], i))
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return 0
				}
				_ = resp.Body.Close()
				return resp.StatusCode
			}, silent)
			mu.Lock()
			defer mu.Unlock()
			for i, status := range statuses {
				assert.Check(t, status == http.StatusOK && runs[path(i)] == 1, "request %d: status %d, %d runs", i, status, runs[path(i)])
			}
		})
	}
}

// TestEntryVMKeepsWorkWhileVMsAreSilent is the same for an entry VM, with requests that
// have a key and must run once.
func TestEntryVMKeepsWorkWhileVMsAreSilent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3)
	c.configureBooking()
	var work atomic.Int64
	var ups []*Upstream
	for i := range 4 {
		u, err := StartUpstream(UpstreamOptions{
			Service: "booking", Zone: zones[i%2], ID: fmt.Sprint("up-", i+1), Slots: 4, WarmAfter: 4, ColdSlots: 1, Key: upstreamKey,
			AnnounceAddresses: c.announces, ServiceTime: func(*rand.Rand) time.Duration { return time.Duration(work.Load()) },
		})
		assert.NilError(t, err)
		t.Cleanup(u.Kill)
		ups = append(ups, u)
	}
	c.awaitServing("call")
	for i := range 60 {
		call(c.callers[i%3], "GET", "/booking/dates", "")
	}
	for name, silent := range map[string][]*process{
		"control":                  c.controls,
		"others, which may grant":  {c.entries[1], c.entries[2]},
		"the entry VM and control": append([]*process{c.entries[0]}, c.controls...),
	} {
		t.Run(name, func(t *testing.T) {
			// Fewer than the slots of the entry VM's zone, so that none waits for a slot.
			const calls = 2
			work.Store(0)
			c.awaitServing(name)
			waitFor(t, "payment", func() string {
				status, body := call(c.callers[0], "POST", "/booking/pay/ready", "ready-"+name)
				if status != http.StatusOK {
					return body
				}
				return ""
			})
			work.Store(int64(longWork))
			start := time.Now()
			key := func(i int) string { return fmt.Sprint(name[:3], i) }
			statuses := runDuringSilence(calls, func(i int) int {
				r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/booking/pay/%s", c.callers[0], key(i)), nil)
				assert.Check(t, err == nil)
				r.Header.Set("Balsam-Timeout-Ms", "30000")
				r.Header.Set("Idempotency-Key", key(i))
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return 0
				}
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					t.Logf("request %d: %s after %s", i, resp.Header.Get(fault.HeaderKind), time.Since(start))
				}
				return resp.StatusCode
			}, silent)
			for i, status := range statuses {
				runs := 0
				for _, u := range ups {
					runs += len(u.RunTimes(key(i)))
				}
				assert.Check(t, status == http.StatusOK && runs == 1, "request %d: status %d, %d runs", i, status, runs)
			}
		})
	}
}
