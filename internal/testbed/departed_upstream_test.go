package testbed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// countingUpstreams starts n upstreams and returns a function that counts the requests
// that one of them has got, by its ID.
func (s *gatewaySystem) countingUpstreams(n int) (count func(id string) int) {
	var mu sync.Mutex
	counts := make(map[string]int)
	s.startRecordingUpstreams(n, func(r *http.Request) upstreamAnswer {
		mu.Lock()
		defer mu.Unlock()
		counts[r.Header.Get("Balsam-Expect-Upstream")]++
		return answerOK
	})
	return func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return counts[id]
	}
}

// announceDraining lets an upstream announce that it leaves, and waits for the
// acknowledgement.
func (s *gatewaySystem) announceDraining(id string) {
	s.t.Helper()
	s.askControl("departure", func(ctx context.Context, a adminpb.Admin) error {
		resp, err := a.GetConfig(ctx, &adminpb.GetConfigRequest{})
		if err != nil {
			return err
		}
		for _, u := range resp.Config.Upstreams {
			if u.Id != id {
				continue
			}
			u.State = catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING
			u.Sequence++
			_, err = a.AnnounceUpstream(ctx, &adminpb.AnnounceUpstreamRequest{Upstream: u})
			return err
		}
		return fmt.Errorf("upstream %s is not known", id)
	})
}

// sendTo sends n calls to the gateway with the given index at once.
func (s *gatewaySystem) sendTo(gateway, n int) {
	var calls sync.WaitGroup
	for i := range n {
		calls.Go(func() {
			c := &gatewayCaller{conns: make(map[string]net.Conn)}
			defer c.close()
			// Some are refused.
			_, _ = c.send(s.callers[gateway], fmt.Sprint("/safe/", i), fmt.Sprint("queued-", i), "")
		})
	}
	calls.Wait()
}

// TestResumedGatewaySendsNothingToUpstreamThatHasLeft suspends a gateway while an
// upstream leaves. Calls that are queued at its socket when it resumes must not reach
// that upstream, whose departure was acknowledged seconds ago.
func TestResumedGatewaySendsNothingToUpstreamThatHasLeft(t *testing.T) {
	s := newGatewaySystem(t, 3, "")
	s.addGateway()
	s.addGateway()
	count := s.countingUpstreams(2)
	s.awaitServing(0, "/safe/first")
	s.awaitRegistered(2)
	s.sendTo(0, 20)
	s.entries[0].signal(syscall.SIGSTOP)
	s.announceDraining("up-1")
	// Longer than a lease.
	time.Sleep(4 * time.Second)
	before := count("up-1")
	resumed := make(chan struct{})
	go func() {
		defer close(resumed)
		s.sendTo(0, 64)
	}()
	time.Sleep(300 * time.Millisecond)
	s.entries[0].signal(syscall.SIGCONT)
	<-resumed
	assert.Equal(t, count("up-1"), before, "requests reached an upstream that had left 4 s before")
	s.awaitGateway(0)
	s.sendTo(0, 20)
	assert.Assert(t, count("up-2") > 0)
}

// TestDepartedUpstreamStaysGoneThroughRestarts restarts control VMs and gateways after
// an upstream has left, one after the other, in pairs and all at once. The upstream
// still runs; it must get nothing.
func TestDepartedUpstreamStaysGoneThroughRestarts(t *testing.T) {
	s := newGatewaySystem(t, 3, "")
	s.addGateway()
	s.addGateway()
	count := s.countingUpstreams(2)
	s.awaitServing(0, "/safe/first")
	s.awaitServing(1, "/safe/first")
	s.awaitRegistered(2)
	s.sendTo(0, 10)
	s.announceDraining("up-1")
	time.Sleep(2 * time.Second)
	before := count("up-1")
	for _, restarted := range [][]*process{
		{s.entries[0]}, {s.controls[0]}, {s.entries[0], s.controls[1]}, {s.controls[0], s.controls[1], s.controls[2]},
		{s.entries[0], s.entries[1], s.controls[0], s.controls[1], s.controls[2]},
	} {
		for _, p := range restarted {
			p.kill()
		}
		for _, p := range restarted {
			p.start()
		}
		end := time.Now().Add(2 * time.Second)
		for time.Now().Before(end) {
			s.sendTo(0, 4)
			s.sendTo(1, 4)
		}
		s.awaitGateway(0)
		s.awaitGateway(1)
	}
	assert.Equal(t, count("up-1"), before, "requests reached an upstream that has left")
	assert.Assert(t, count("up-2") > 0)
}
