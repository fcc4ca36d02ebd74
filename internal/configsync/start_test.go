package configsync

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// startingGroup is a transport to control VMs, the first of which leads. They start
// upAt after the gateways and have caught up at caughtUpAt.
type startingGroup struct {
	addresses        []string
	start            time.Time
	upAt, caughtUpAt time.Duration

	mu sync.Mutex
	// requests and configs count the requests and the configurations sent, by
	// address, until the first lease has been granted to each gateway.
	requests, configs map[string]int
}

// RoundTrip implements http.RoundTripper.
func (g *startingGroup) RoundTrip(r *http.Request) (*http.Response, error) {
	address := r.URL.Host
	if time.Since(g.start) < g.upAt {
		return nil, io.ErrUnexpectedEOF
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	req := &clusterpb.RenewRequest{}
	if err := proto.Unmarshal(body, req); err != nil {
		return nil, err
	}
	g.mu.Lock()
	if !req.Synced {
		g.requests[address]++
	}
	g.mu.Unlock()
	resp := g.respond(address, req)
	data, err := proto.Marshal(resp)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(data))}, nil
}

func (g *startingGroup) respond(address string, req *clusterpb.RenewRequest) *clusterpb.RenewResponse {
	resp := &clusterpb.RenewResponse{ControlAddresses: g.addresses}
	if req.WantsMembers {
		return resp
	}
	if req.Synced {
		time.Sleep(time.Duration(req.WaitMs) * time.Millisecond)
	}
	if wait := g.caughtUpAt - time.Since(g.start); wait > 0 {
		time.Sleep(min(wait, time.Duration(req.WaitMs)*time.Millisecond))
	}
	if time.Since(g.start) < g.caughtUpAt {
		return resp
	}
	resp.LeaderAddress = g.addresses[0]
	if address == g.addresses[0] {
		resp.LeaseMs = 3_000
	}
	if req.Revision < 7 {
		g.mu.Lock()
		g.configs[address]++
		g.mu.Unlock()
		resp.Revision, resp.Config = 7, &catalogpb.Config{Revision: 7, StateVersion: 2}
	}
	return resp
}

// TestGatewaysThatStartTogetherAskAllControlVMs replays the return of power to a whole
// system: hundreds of gateways know three of the control VMs, which start at the same
// time. No control VM must have to send more than twice its share of the
// configurations, or answer a gateway again and again while it has nothing to send.
func TestGatewaysThatStartTogetherAskAllControlVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways, controlVMs, seeds = 300, 12, 3
		g := &startingGroup{start: time.Now(), upAt: 50 * time.Millisecond, caughtUpAt: 250 * time.Millisecond, requests: make(map[string]int), configs: make(map[string]int)}
		for i := range controlVMs {
			g.addresses = append(g.addresses, "c"+strconv.Itoa(i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var syncers []*Syncer
		var running sync.WaitGroup
		for i := range gateways {
			s := New(Options{
				Entry: &catalogpb.Entry{Id: fmt.Sprint("g", i)}, ControlAddresses: slices.Clone(g.addresses[:seeds]), ServesStale: true,
				Client: &http.Client{Transport: g},
			})
			syncers = append(syncers, s)
			running.Go(func() { s.Run(ctx) })
		}
		time.Sleep(g.caughtUpAt + 100*time.Millisecond)
		for _, s := range syncers {
			assert.Assert(t, s.View() != nil)
		}
		g.mu.Lock()
		total := 0
		for _, address := range g.addresses {
			assert.Assert(t, g.configs[address] <= 2*gateways/controlVMs, "%s sent %d configurations", address, g.configs[address])
			total += g.requests[address]
		}
		// One for the members, one for the configuration, one for the lease.
		assert.Assert(t, total <= 4*gateways, "%d requests of %d gateways", total, gateways)
		g.mu.Unlock()
		cancel()
		running.Wait()
	})
}
