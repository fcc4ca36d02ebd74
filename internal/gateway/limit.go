package gateway

import (
	"net/http"
	"strconv"

	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// recordLimit records the rate limit that an answer of the upstream names, or
// that it names none. The answer of another upstream at the address is ignored,
// as are answers to requests that do not show who gave them.
func (f *Forwarder) recordLimit(u balance.Upstream, kind balance.AnswerKind, resp *http.Response) {
	names := f.opts.Headers
	if resp.StatusCode == http.StatusMisdirectedRequest || kind == balance.RanAnswer && resp.Header.Get(names.ServedBy) == "" {
		return
	}
	st := f.state
	value := resp.Header.Get(names.Limit)
	perSecond, ok := parseLimit(value)
	st.mu.Lock()
	defer st.mu.Unlock()
	if value != "" && !ok && st.balancer.RecordInvalidLimit(u.ID, kind, value) {
		f.opts.Events.Log(event.LimitInvalid).Str("upstream", u.ID).Str("pool", u.Pool).Str("value", value).Send()
	}
	before, changed := st.balancer.RecordLimit(u.ID, kind, balance.RateLimit{Named: ok, PerSecond: perSecond, At: st.now()})
	if changed {
		f.opts.Events.Log(event.UpstreamLimit).Str("upstream", u.ID).Str("pool", u.Pool).
			Str("before", formatLimit(before)).Str("now", formatLimit(st.balancer.Limit(u.ID))).Send()
	}
}

// formatLimit returns the limit for a log line, such as "2.5/s" or "none".
func formatLimit(l balance.RateLimit) string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s"
}

// recordProbeSent counts a load probe to an upstream with a rate limit.
func (st *state) recordProbeSent(id string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.balancer.RecordProbeSent(id)
}

// reportLimitedLoads logs and counts what this gateway has sent to upstreams
// with a rate limit since the last call.
func (st *state) reportLimitedLoads(m *telemetry.GatewayMetrics, log event.Logger) {
	st.mu.Lock()
	loads := st.balancer.TakeLimitedLoads()
	st.mu.Unlock()
	for _, l := range loads {
		pool := m.Pool(l.Upstream.Pool)
		pool.LimitedRequests.Inc(int64(l.Requests))
		pool.LimitedProbes.Inc(int64(l.Probes))
		log.Log(event.LimitedLoad).Str("upstream", l.Upstream.ID).Str("pool", l.Upstream.Pool).Str("limit", formatLimit(l.Limit)).
			Uint64("requests", uint64(l.Requests)).Uint64("probes", uint64(l.Probes)).Send()
	}
}
