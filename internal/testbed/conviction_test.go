package testbed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
)

// Guards against BUDGET: a request that crashes upstreams was forgotten when the processes
// of all gateways were killed at once, and crashed as many upstreams again.
func TestCrashingRequestIsRememberedWhenAllGatewaysAreKilled(t *testing.T) {
	const gateways, upstreams = 3, 8
	s := newGatewaySystem(t, 3, "")
	for range gateways {
		s.addGateway()
	}
	var crashes atomic.Int64
	s.startRecordingUpstreams(upstreams, func(r *http.Request) upstreamAnswer {
		if strings.HasPrefix(r.URL.Path, "/safe/crash") {
			crashes.Add(1)
			return answerCrash
		}
		return answerOK
	})
	for i := range gateways {
		s.awaitServing(i, "/safe/first")
	}
	s.awaitRegistered(gateways)
	attempts := 0
	send := func() {
		for i := range gateways {
			c := &gatewayCaller{conns: make(map[string]net.Conn)}
			attempts++
			// It is refused, or its connection is reset.
			_, _ = c.send(s.callers[i], "/safe/crash", fmt.Sprint("crash-", attempts), "")
			c.close()
		}
	}
	s.askControl("conviction", func(ctx context.Context, a adminpb.Admin) error {
		send()
		resp, err := a.GetConfig(ctx, &adminpb.GetConfigRequest{})
		if err == nil && len(resp.Config.Convictions) == 0 {
			err = fmt.Errorf("no conviction after %d crashes", crashes.Load())
		}
		return err
	})
	for range 2 {
		for _, p := range s.entries {
			p.kill()
		}
		before := crashes.Load()
		for _, p := range s.entries {
			p.start()
		}
		for i := range gateways {
			s.awaitGateway(i)
		}
		for range 4 {
			send()
			time.Sleep(upstreamRestartTime)
		}
		assert.Equal(t, crashes.Load(), before, "a request that was quarantined before the kill crashed upstreams again")
		s.awaitServing(0, "/safe/other")
	}
}
