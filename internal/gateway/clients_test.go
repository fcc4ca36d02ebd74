package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// TestDesiredStateSetsLimitsOfCallers guards against limits of the desired state that the
// listener for callers does not obey.
func TestDesiredStateSetsLimitsOfCallers(t *testing.T) {
	settings := httpnet.Limits{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	for _, tc := range []struct {
		name  string
		state *catalogpb.CallerLimits
		want  httpnet.Limits
	}{
		{"no limits", nil, settings},
		{"all", &catalogpb.CallerLimits{MaxHeaderBytes: 32 << 10, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}, httpnet.Limits{MaxHeaderBytes: 32 << 10, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}},
		{"outside the bounds", &catalogpb.CallerLimits{MaxHeaderBytes: 1 << 30, HeaderTimeoutMs: 1, IdleTimeoutMs: 1 << 31}, httpnet.Limits{MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: minClientTimeout, IdleTimeout: maxClientTimeout}},
	} {
		got := clientLimits(settings, tc.state)
		assert.Equal(t, got.MaxHeaderBytes, tc.want.MaxHeaderBytes, tc.name)
		assert.Equal(t, got.ReadHeaderTimeout, tc.want.ReadHeaderTimeout, tc.name)
		assert.Equal(t, got.IdleTimeout, tc.want.IdleTimeout, tc.name)
	}
}
