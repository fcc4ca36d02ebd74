package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/explain"
	"balsamcourse.example/balsamcourse/internal/permit"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

func TestParseLimitRejectsWhatIsNoRate(t *testing.T) {
	for value, want := range map[string]float64{"1": 1, "0": 0, "2.5": 2.5, " 3 ": 3, "1e2": 100} {
		got, ok := parseLimit(value)
		assert.Assert(t, ok, value)
		assert.Equal(t, got, want)
	}
	for _, value := range []string{"", "-1", "NaN", "Inf", "1e999", "many", "1/s", "1,5", "0x1p2", "1_0"} {
		_, ok := parseLimit(value)
		assert.Assert(t, !ok, value)
	}
}

// issuePermits lets the gateway issue permits from now on.
func (st *state) issuePermits() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.issuer = permit.NewIssuer(st.gatewayID)
	st.issuer.SetLive(0, []string{st.gatewayID})
	st.issuer.RecordLease(0, time.Hour)
}

// named returns the lines of the event, in order.
func (f *logFile) named(t *testing.T, name string) []explain.Line {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lines, err := explain.Read(strings.NewReader(f.buf.String()))
	assert.NilError(t, err)
	var found []explain.Line
	for _, l := range lines {
		if l.Name == name {
			found = append(found, l)
		}
	}
	return found
}

// TestLogTellsRequestsFromProbesAtLimitedUpstream calls an upstream that names a
// limit, a value that is no rate, and nothing. The log must show when the limit
// came and went, and how many requests and how many probes this gateway has sent
// meanwhile.
func TestLogTellsRequestsFromProbesAtLimitedUpstream(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	var logs logFile
	cfg := newConfig(s)
	cfg.Entries = []*catalogpb.Entry{{Id: "g1"}}
	fx := startForwarderWithLog(t, cfg, logs.logger("gateway", "g1"))
	fx.state.issuePermits()
	for _, limit := range []string{"Balsam-Limit: 1000\r\n", "Balsam-Limit: 1000\r\n", "Balsam-Limit: plenty\r\n", "Balsam-Limit: plenty\r\n", ""} {
		s.respond = s.responder(200, servedByHeader+limit, "whole")
		status, _, _ := fx.call(t, http.MethodGet, "/safe/x", "")
		assert.Equal(t, status, 200)
	}
	limits := logs.named(t, "upstream_limit")
	assert.Equal(t, len(limits), 2)
	assertContains(t, limits[0], "upstream=u1", "pool=p", "before=none", "now=1000/s")
	assertContains(t, limits[1], "before=1000/s", "now=none")
	invalid := logs.named(t, "limit_invalid")
	assert.Equal(t, len(invalid), 1)
	assertContains(t, invalid[0], "upstream=u1", "value=plenty")

	metrics := telemetry.NewMetrics("gateway", "g1")
	t.Cleanup(func() { _ = metrics.Close() })
	fx.state.balancer.RecordLimit("u1", balance.RanAnswer, balance.RateLimit{Named: true, PerSecond: 7})
	fx.state.reportLimitedLoads(telemetry.NewGatewayMetrics(metrics.Scope), logs.logger("gateway", "g1"))
	fx.state.reportLimitedLoads(telemetry.NewGatewayMetrics(metrics.Scope), logs.logger("gateway", "g1"))
	loads := logs.named(t, "limited_load")
	assert.Equal(t, len(loads), 1)
	assertContains(t, loads[0], "upstream=u1", "pool=p", "limit=7/s", "requests=2", "probes=2")
}
