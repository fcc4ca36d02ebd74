package route

import (
	"fmt"
	"testing"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// largeConfig returns a configuration with n routes of one host.
func largeConfig(n int) *catalogpb.Config {
	cfg := &catalogpb.Config{StateVersion: 1}
	for i := range n {
		key := uint32(i) * 2654435761
		cfg.Routes = append(cfg.Routes, &catalogpb.Route{
			Name: fmt.Sprintf("r-%08x", key), Host: "h.example", PathPrefix: fmt.Sprintf("/%08x/", key), Shares: singleShare("p"),
		})
	}
	return cfg
}

// BenchmarkTable measures the index of many routes of one host.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{20, 1400, 5600} {
		cfg := largeConfig(n)
		table := NewTable(cfg, 0)
		path := cfg.Routes[n-1].PathPrefix + "x/y"
		b.Run(fmt.Sprintf("new/routes=%d", n), func(b *testing.B) {
			for b.Loop() {
				NewTable(cfg, 0)
			}
		})
		b.Run(fmt.Sprintf("lookup/routes=%d", n), func(b *testing.B) {
			for b.Loop() {
				table.Lookup("h.example", path)
			}
		})
	}
}
