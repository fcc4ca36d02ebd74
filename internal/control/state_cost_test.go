package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
)

// stateWithRoutes returns a desired state with n routes.
func stateWithRoutes(version uint64, n int) *catalogpb.DesiredState {
	s := &catalogpb.DesiredState{Version: version, Pools: []*catalogpb.Pool{{Name: "p", HealthPath: "/health"}}}
	for i := range n {
		key := uint32(i) * 2654435761
		s.Routes = append(s.Routes, &catalogpb.Route{
			Name: fmt.Sprintf("r-%08x", key), Host: "h.example", PathPrefix: fmt.Sprintf("/%08x/", key^0x5bd1e995),
			Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE, TimeoutMs: 600, TargetLatencyMs: 250, Priority: 1, MaxAttempts: 2,
			Shares: []*catalogpb.RouteShare{{Pool: "p", Weight: 1}},
		})
	}
	return s
}

// largeChange is a change that adds 1,400 routes, and gateways that all hold
// different revisions from before it.
type largeChange struct {
	loop *loop
	next *catalogpb.Config
	// bases holds the configuration of each gateway.
	bases []*catalogpb.Config
}

func newLargeChange(t testing.TB, gateways, routes int) *largeChange {
	c := &largeChange{loop: newLoop(t.Context(), New(Options{}), nil)}
	index := uint64(0)
	apply := func(cmd *catalogpb.Command) {
		data, err := proto.Marshal(cmd)
		assert.NilError(t, err)
		index++
		c.loop.server.stateMachine.Apply(index, data)
		c.next = c.loop.server.Config()
	}
	apply(&catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: stateWithRoutes(1, routes-1400)}})
	for i := range gateways {
		apply(&catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: &catalogpb.Upstream{
			Id: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.1:", i+1), Zone: "a", Pool: "p", Slots: 4,
			State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		}}})
		c.bases = append(c.bases, c.next)
	}
	apply(&catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: stateWithRoutes(2, routes)}})
	return c
}

// response returns the response to gateway i.
func (c *largeChange) response(i int) *clusterpb.RenewResponse {
	resp := &clusterpb.RenewResponse{Revision: c.next.Revision}
	req := &clusterpb.RenewRequest{Revision: c.bases[i].Revision, AcceptsPacked: true, AcceptsPackedState: true}
	c.loop.addConfig(resp, req, c.next)
	return resp
}

// TestLargeChangeIsEncodedOnceForAllGateways guards against incident inc2: a
// change that added 1,400 routes was compared again for each revision that a gateway
// held, and encoded and sent uncompressed for each gateway.
func TestLargeChangeIsEncodedOnceForAllGateways(t *testing.T) {
	const (
		gateways, routes = 60, 4200
		// maxBytesPerRoute is about half of a route as it is encoded.
		maxBytesPerRoute = 35
		// maxOtherBytes bounds the upstreams in a response.
		maxOtherBytes = 60 * gateways
	)
	c := newLargeChange(t, gateways, routes)
	var encoded []byte
	for i, base := range c.bases {
		resp := c.response(i)
		size := proto.Size(resp)
		assert.Assert(t, size <= 1400*maxBytesPerRoute+maxOtherBytes, "gateway %d gets %d bytes", i, size)
		if encoded == nil {
			encoded = resp.PackedStateDelta
		}
		assert.Assert(t, len(encoded) > 0 && &resp.PackedStateDelta[0] == &encoded[0], "the difference was encoded again for gateway %d", i)
		delta, err := catalog.AddPackedStateDelta(resp.Delta, resp.PackedStateDelta)
		assert.NilError(t, err)
		got, err := catalog.Patch(base, delta)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, c.next))
	}
}

// TestGatewayThatCannotUnpackGetsPlainDelta sends a large change to an entry VM of
// an older build.
func TestGatewayThatCannotUnpackGetsPlainDelta(t *testing.T) {
	c := newLargeChange(t, 1, 1400)
	resp := &clusterpb.RenewResponse{}
	c.loop.addConfig(resp, &clusterpb.RenewRequest{Revision: c.bases[0].Revision, AcceptsPacked: true}, c.next)
	assert.Equal(t, len(resp.PackedStateDelta), 0)
	got, err := catalog.Patch(c.bases[0], resp.Delta)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(got, c.next))
}

// BenchmarkLargeChange measures what the leader does for each gateway after a
// change that adds 1,400 routes.
func BenchmarkLargeChange(b *testing.B) {
	const gateways = 215
	for _, routes := range []int{1400, 2800, 4200, 5600} {
		c := newLargeChange(b, gateways, routes)
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				c.loop.server.history = &history{configs: c.loop.server.history.configs}
				bytes = 0
				for i := range gateways {
					data, err := proto.Marshal(c.response(i))
					assert.NilError(b, err)
					bytes += len(data)
				}
			}
			b.ReportMetric(float64(bytes), "sent-B/op")
		})
	}
}
