package gateway

import (
	"net/http"
	"strconv"

	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/permit"
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
	if changed := f.state.recordLimit(u, kind, resp.Header.Get(names.Limit), f.opts.Events); changed {
		go f.reportLimit(u)
	}
}

// recordLimit records the rate limit that an answer of the upstream names; value
// is "" if it names none. It reports whether the limit has changed.
func (st *state) recordLimit(u balance.Upstream, kind balance.AnswerKind, value string, log event.Logger) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	limit := balance.RateLimit{Known: true, At: st.now()}
	if value != "" {
		limit.PerSecond, limit.Named = parseLimit(value)
		if !limit.Named && st.balancer.RecordInvalidLimit(u.ID, kind, value) {
			log.Log(event.LimitInvalid).Str("upstream", u.ID).Str("pool", u.Pool).Str("value", value[:min(len(value), maxLoggedValue)]).Send()
		}
	}
	before, changed := st.balancer.RecordLimit(u.ID, kind, limit)
	if changed {
		logLimit(log, u, before, limit, st.gatewayID)
	}
	return changed
}

// maxLoggedValue is the number of bytes of an invalid value that are logged.
const maxLoggedValue = 64

// logLimit logs a change of the limit. from is the gateway that got the answer.
func logLimit(log event.Logger, u balance.Upstream, before, now balance.RateLimit, from string) {
	log.Log(event.UpstreamLimit).Str("upstream", u.ID).Str("pool", u.Pool).
		Str("before", formatLimit(before)).Str("now", formatLimit(now)).Str("from", from).Send()
}

// formatLimit returns the limit for a log line, such as "2.5/s" or "none".
func formatLimit(l balance.RateLimit) string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s"
}

// reportLimitedLoads logs and counts what this gateway has sent to upstreams
// with a rate limit, and the permits that it has issued for them, since the last
// call.
func (st *state) reportLimitedLoads(m *telemetry.GatewayMetrics, log event.Logger) {
	st.mu.Lock()
	loads := st.balancer.TakeLimitedLoads()
	counts := st.issuer.TakeCounts(st.now())
	limits := make(map[string]balance.RateLimit, len(counts))
	for _, c := range counts {
		limits[c.Key.Upstream] = st.balancer.Limit(c.Key.Upstream)
	}
	st.mu.Unlock()
	for _, c := range counts {
		log.Log(event.PermitsIssued).Str("upstream", c.Key.Upstream).Bool("cold_start", c.Key.Purpose == permit.ColdStart).
			Str("limit", formatLimit(limits[c.Key.Upstream])).Uint64("units", uint64(c.Issued)).Uint64("refused", uint64(c.Refused)).Send()
	}
	for _, l := range loads {
		pool := m.Pool(l.Upstream.Pool)
		pool.LimitedRequests.Inc(int64(l.Requests))
		pool.LimitedProbes.Inc(int64(l.Probes))
		log.Log(event.LimitedLoad).Str("upstream", l.Upstream.ID).Str("pool", l.Upstream.Pool).Str("limit", formatLimit(l.Limit)).
			Uint64("requests", uint64(l.Requests)).Uint64("probes", uint64(l.Probes)).Send()
	}
}
