package catalog

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/deflate"
)

// largeState returns a desired state with n routes. Two of them with the same
// number of routes are equal but for their version.
func largeState(version uint64, n int) *catalogpb.DesiredState {
	s := &catalogpb.DesiredState{Version: version, Limits: &catalogpb.CallerLimits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 26, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}}
	for i := range 2 {
		s.Pools = append(s.Pools, &catalogpb.Pool{Name: fmt.Sprintf("pool-%d", i), HealthPath: "/health", MaxConnections: 300, ColdMs: 3000, ColdPerS: 15})
	}
	for i := range n {
		key := uint32(i) * 2654435761
		name := fmt.Sprintf("r-%08x", key)
		s.Routes = append(s.Routes, &catalogpb.Route{
			Name: name, Host: "sera58.example", PathPrefix: fmt.Sprintf("/%08x/", key^0x5bd1e995), Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE,
			TimeoutMs: 600, TargetLatencyMs: 250, Priority: 1, MaxAttempts: 2, Shares: []*catalogpb.RouteShare{{Pool: s.Pools[i%2].Name, Weight: 1}},
		})
		s.Source = fmt.Appendf(s.Source, "{\"kind\":\"route\",\"about\":{\"name\":%q},\"route\":{\"host\":\"sera58.example\",\"prefix\":\"/%08x/\",\"repeatable\":true,\"timeout\":\"600ms\",\"target\":\"250ms\",\"priority\":1,\"pool\":%q,\"attempts\":2}},", name, key^0x5bd1e995, s.Pools[i%2].Name)
	}
	return s
}

// BenchmarkLargeState measures the steps of a change that adds 1,400 routes to a
// desired state, by the number of routes after it. Sizes are reported as well.
func BenchmarkLargeState(b *testing.B) {
	const added = 1400
	for _, n := range []int{1400, 2800, 4200, 5600} {
		before := &testMachine{t: b, Catalog: New()}
		before.putState(largeState(1, n-added))
		base := before.Config()
		state := largeState(2, n)
		compressed, err := CompressSource(state)
		if err != nil {
			b.Fatal(err)
		}
		cmd := &catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: compressed}}
		data, err := proto.Marshal(cmd)
		if err != nil {
			b.Fatal(err)
		}
		before.putState(state)
		next := before.Config()
		delta := Delta(base, next)
		encodedDelta, err := proto.Marshal(delta)
		if err != nil {
			b.Fatal(err)
		}
		packed, err := deflate.Compress(encodedDelta)
		if err != nil {
			b.Fatal(err)
		}
		b.Logf("%d routes: text %d B, entry %d B, delta %d B, packed %d B", n, len(state.Source), len(data), len(encodedDelta), len(packed))
		steps := []struct {
			name string
			run  func()
		}{
			{"check", func() { CheckState(state) }},
			{"compress", func() { _, _ = CompressSource(state) }},
			{"marshal-entry", func() { _, _ = proto.Marshal(cmd) }},
			{"unmarshal-entry", func() { _ = proto.Unmarshal(data, &catalogpb.Command{}) }},
			{"apply", func() {
				c := New()
				c.config.Store(base)
				c.Apply(9, data)
			}},
			{"delta", func() { Delta(base, next) }},
			{"marshal-delta", func() { _, _ = proto.Marshal(delta) }},
			{"unmarshal-delta", func() { _ = proto.Unmarshal(encodedDelta, &catalogpb.ConfigDelta{}) }},
			{"pack-delta", func() { _, _ = deflate.Compress(encodedDelta) }},
			{"unpack-delta", func() { _, _ = deflate.Decompress(packed, maxConfigBytes) }},
			{"patch", func() { _, _ = Patch(base, delta) }},
			{"pack-config", func() { _, _ = PackConfig(next) }},
			{"snapshot", func() { _, _ = before.Snapshot() }},
		}
		for _, step := range steps {
			b.Run(fmt.Sprintf("%s/routes=%d", step.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					step.run()
				}
			})
		}
	}
}

// BenchmarkAnnouncement measures an announcement of an upstream that changes its
// state, by the number of routes.
func BenchmarkAnnouncement(b *testing.B) {
	for _, n := range []int{20, 5600} {
		m := &testMachine{t: b, Catalog: New()}
		m.putState(largeState(1, n))
		sequence := uint64(0)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			for b.Loop() {
				sequence++
				m.command(&catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: &catalogpb.Upstream{
					Id: "u", Address: "10.0.0.1:80", Zone: "a", Pool: "pool-0", Slots: 4, Sequence: sequence,
					StartedMs: sequence, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
				}}})
			}
		})
	}
}
