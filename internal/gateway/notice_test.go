package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
)

// sayer lets an upstream answer with further headers, and records when it did.
type sayer struct {
	upstream *limitedUpstream

	mu   sync.Mutex
	said []time.Duration
}

func (s *sayer) record() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.said = append(s.said, time.Since(s.upstream.start))
}

// first returns the time of the first answer with the headers.
func (s *sayer) first(t *testing.T) time.Duration {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, len(s.said) > 0, "the upstream has got no request")
	return s.said[0]
}

// answerKind is a way to answer with further headers.
type answerKind struct {
	name string
	// probe is set if only probes are answered so, otherwise only requests.
	probe bool
	// format is the answer; the verbs are the ID of the request and the headers.
	format string
	then   answered
}

const answerEnd = "Content-Length: 0\r\n\r\n"

var answerKinds = []answerKind{
	{"success", false, "HTTP/1.1 200 OK\r\nBalsam-Upstream: s\r\nBalsam-Request-Id: %s\r\n%s" + answerEnd, keptOpen},
	{"error", false, "HTTP/1.1 500 X\r\nBalsam-Upstream: s\r\nBalsam-Request-Id: %s\r\n%s" + answerEnd, keptOpen},
	{"refusal", false, "HTTP/1.1 503 X\r\nBalsam-Not-Run: 1\r\nBalsam-Request-Id: %s\r\n%s" + answerEnd, keptOpen},
	{"answer that lacks the header of an upstream that ran it", false, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: %s\r\n%s" + answerEnd, keptOpen},
	{"interrupted answer", false, "HTTP/1.1 200 OK\r\nBalsam-Upstream: s\r\nBalsam-Request-Id: %s\r\n%sContent-Length: 9\r\n\r\npart", broken},
	{"interim answer", false, "HTTP/1.1 103 X\r\nBalsam-Request-Id: %s\r\n%s\r\n", notAnswered},
	{"interim answer before a reset", false, "HTTP/1.1 103 X\r\nBalsam-Request-Id: %s\r\n%s\r\n", broken},
	{"answer to a probe", true, "HTTP/1.1 200 OK\r\nBalsam-Upstream: u1\r\nBalsam-Load: 0 0 100 100\r\nX-Id: %s\r\n%s" + answerEnd, keptOpen},
	{"failing answer to a probe", true, "HTTP/1.1 503 X\r\nBalsam-Upstream: u1\r\nX-Id: %s\r\n%s" + answerEnd, keptOpen},
	{"interrupted answer to a probe", true, "HTTP/1.1 200 OK\r\nBalsam-Upstream: u1\r\nX-Id: %s\r\n%sContent-Length: 9\r\n\r\npart", broken},
	{"interim answer to a probe", true, "HTTP/1.1 103 X\r\nX-Id: %s\r\n%s\r\n", notAnswered},
}

// say makes the upstream answer in the given way with the headers.
func (u *limitedUpstream) say(kind answerKind, header string) *sayer {
	s := &sayer{upstream: u}
	u.setRespond(func(conn net.Conn, r *http.Request) answered {
		if kind.probe != (r.URL.Path == "/health") {
			return notAnswered
		}
		s.record()
		fmt.Fprintf(conn, kind.format, r.Header.Get("Balsam-Request-Id"), header)
		return kind.then
	})
	return s
}

// arrivedAfter returns the number of requests and probes that arrived later than
// the given time and before to.
func (u *limitedUpstream) arrivedAfter(at, to time.Duration) int {
	_, n := u.arrivals(at+1, to)
	return n
}

func (u *limitedUpstream) now() time.Duration { return time.Since(u.start) }

// applyConfig applies the configuration, changed by change, at all gateways.
func (g *gatewayGroup) applyConfig(change func(*catalogpb.Config)) {
	cfg := proto.Clone(g.cfg).(*catalogpb.Config)
	change(cfg)
	for _, f := range g.forwarders {
		f.state.applyConfig(configview.New(cfg))
	}
}

// TestNothingIsSentToUpstreamThatSaysItLeaves lets one of two upstreams say in
// each kind of answer that it is leaving, while the configuration lists it as
// ready. From that answer on it must get neither requests nor probes, also after
// the configuration has changed, until it has started again.
func TestNothingIsSentToUpstreamThatSaysItLeaves(t *testing.T) {
	for _, kind := range answerKinds {
		t.Run(kind.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGatewayGroup(t, 1, "u1", "u2")
				u := g.upstreams["u1:1"]
				s := u.say(kind, "Balsam-Leaving: 1\r\n")
				g.sendCalls(10*time.Millisecond, 2*time.Second)
				first := s.first(t)
				for _, change := range []func(*catalogpb.Config){
					func(*catalogpb.Config) {},
					func(cfg *catalogpb.Config) { cfg.Revision = 0 },
					func(cfg *catalogpb.Config) { cfg.Upstreams = cfg.Upstreams[1:] },
					func(cfg *catalogpb.Config) { cfg.Upstreams = cfg.Upstreams[1:] },
					func(*catalogpb.Config) {},
					func(cfg *catalogpb.Config) {
						cfg.Pools = append(cfg.Pools, &catalogpb.Pool{Name: "q", HealthPath: "/health"})
						cfg.Upstreams[0].Pool = "q"
						cfg.Routes[0].Shares = append(cfg.Routes[0].Shares, &catalogpb.RouteShare{Pool: "q", Weight: 1})
						cfg.StateVersion = 2
					},
					func(cfg *catalogpb.Config) { cfg.StateVersion = 3 },
				} {
					g.applyConfig(change)
					g.sendCalls(10*time.Millisecond, time.Second)
				}
				assert.Equal(t, u.arrivedAfter(first, u.now()), 0, "requests and probes after it said that it leaves")
				u.setRespond(nil)
				g.applyConfig(func(cfg *catalogpb.Config) { cfg.Upstreams[0].StartedMs = 1 })
				restarted := u.now()
				g.sendCalls(10*time.Millisecond, time.Second)
				assert.Assert(t, u.arrivedAfter(restarted, u.now()) > 0, "a later start gets requests")
			})
		})
	}
}

// TestOtherUpstreamAtAddressOfLeavingOneGetsRequests starts another upstream at
// the address of one that has said that it is leaving.
func TestOtherUpstreamAtAddressOfLeavingOneGetsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1", "u2")
		u := g.upstreams["u1:1"]
		u.say(answerKinds[0], "Balsam-Leaving: 1\r\n")
		g.sendCalls(10*time.Millisecond, 2*time.Second)
		u.setRespond(nil)
		u.mu.Lock()
		u.id = "u3"
		u.mu.Unlock()
		g.applyConfig(func(cfg *catalogpb.Config) { cfg.Upstreams[0].Id = "u3" })
		started := u.now()
		g.sendCalls(10*time.Millisecond, time.Second)
		assert.Assert(t, u.arrivedAfter(started, u.now()) > 0)
	})
}

// TestAnswerOfOtherUpstreamSaysNothing lets answers that do not come from the
// upstream that was asked, or carry no 1, say that it is leaving.
func TestAnswerOfOtherUpstreamSaysNothing(t *testing.T) {
	for name, answer := range map[string]answerKind{
		"misdirected request":    {"", false, "HTTP/1.1 421 X\r\nBalsam-Request-Id: %s\r\n%s" + answerEnd, keptOpen},
		"probe of another":       {"", true, "HTTP/1.1 200 OK\r\nBalsam-Upstream: u7\r\nX-Id: %s\r\n%s" + answerEnd, keptOpen},
		"answer to another call": {"", false, "HTTP/1.1 200 OK\r\nBalsam-Upstream: s\r\nBalsam-Request-Id: x%s\r\n%s" + answerEnd, broken},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayGroup(t, 1, "u1", "u2")
			u := g.upstreams["u1:1"]
			s := u.say(answer, "Balsam-Leaving: 1\r\n")
			g.sendCalls(10*time.Millisecond, 2*time.Second)
			s.first(t)
			u.setRespond(nil)
			// The upstream is held back after failures for some time.
			g.sendCalls(10*time.Millisecond, 30*time.Second)
			assert.Assert(t, u.arrivedAfter(u.now()-2*time.Second, u.now()) > 0, name)
		})
	}
}

// TestFreedSlotOfLeavingUpstreamGoesToNoWaitingCall lets the answer by which a
// slot falls free say that the upstream is leaving, while calls wait for it.
func TestFreedSlotOfLeavingUpstreamGoesToNoWaitingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1")
		u := g.upstreams["u1:1"]
		var said time.Duration
		u.setRespond(func(conn net.Conn, r *http.Request) answered {
			if r.URL.Path == "/health" {
				requests, _ := u.arrivals(0, u.now()+1)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: u1\r\nBalsam-Load: %d 0 1 100\r\n%s", requests, answerEnd)
				return keptOpen
			}
			time.Sleep(100 * time.Millisecond)
			said = u.now()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: u1\r\nBalsam-Load: 1 0 1 100\r\nBalsam-Leaving: 1\r\nBalsam-Request-Id: r1\r\n%s", answerEnd)
			return keptOpen
		})
		results := g.sendCalls(10*time.Millisecond, 100*time.Millisecond)
		requests, _ := u.arrivals(0, u.now())
		assert.Equal(t, requests, 1)
		assert.Equal(t, u.arrivedAfter(said, u.now()), 0)
		assert.Equal(t, results.served, 1)
		slowest := results.refusalTimes[len(results.refusalTimes)-1]
		assert.Assert(t, slowest <= 100*time.Millisecond, "a waiting call was refused after %s", slowest)
	})
}

// TestReservationIsNotUsedAfterUpstreamHasSaidThatItLeaves reserves an upstream
// for a call, which then learns that it is leaving, or wants a pause.
func TestReservationIsNotUsedAfterUpstreamHasSaidThatItLeaves(t *testing.T) {
	for _, said := range []answerHead{
		{source: fromCall, status: 200, header: http.Header{"Balsam-Leaving": {"1"}}},
		{source: fromCall, status: 503, header: http.Header{"Retry-After": {"1"}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayGroup(t, 1, "u1")
			f := g.forwarders[0]
			c := &call{f: f, r: httptest.NewRequest(http.MethodGet, "/safe/x", nil), arrived: time.Now(), pool: "p"}
			res, _ := f.search(t.Context(), "p", nil, 2, c.requirements(2))
			assert.Assert(t, res.conn != nil && c.confirm(res))
			f.recordNotice(res.choice.Upstream, said)
			assert.Assert(t, !c.confirm(res))
			assert.Equal(t, f.state.balancer.InFlight("p"), 0)
			assert.Equal(t, c.withheld, 1)
			_, err := f.fetchLoadOn(t.Context(), res.conn, res.choice.Upstream)
			assert.ErrorIs(t, err, errWithheld)
		})
	}
}

// logTo makes the gateways write their log lines to logs.
func (g *gatewayGroup) logTo(logs *logFile) {
	for _, f := range g.forwarders {
		f.opts.Events = event.NewLogger(logs, zerolog.InfoLevel, "gateway", f.state.gatewayID)
	}
}

// TestOtherValuesOfLeavingSayNothing lets an upstream answer with values that do
// not say that it is leaving; they must be logged once.
func TestOtherValuesOfLeavingSayNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1")
		var logs logFile
		g.logTo(&logs)
		u := g.upstreams["u1:1"]
		u.say(answerKinds[0], "Balsam-Leaving: true\r\n")
		results := g.sendCalls(50*time.Millisecond, time.Second)
		assert.Equal(t, results.refused, 0)
		invalid := logs.named(t, "notice_invalid")
		assert.Equal(t, len(invalid), 1)
		assertContains(t, invalid[0], "upstream=u1", "header=Balsam-Leaving", "value=true", "answer_to=r1")
		assert.Equal(t, len(logs.named(t, "upstream_leaving")), 0)
	})
}

// TestLogNamesLeavingUpstream checks the log line and that explain shows it.
func TestLogNamesLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1")
		var logs logFile
		g.logTo(&logs)
		g.upstreams["u1:1"].say(answerKinds[0], "Balsam-Leaving: 1\r\n")
		results := g.sendCalls(50*time.Millisecond, time.Second)
		assert.Equal(t, results.served, 1)
		leaving := logs.named(t, "upstream_leaving")
		assert.Equal(t, len(leaving), 1)
		assertContains(t, leaving[0], "upstream=u1", "pool=p", "source=call", "answer_to=r1", "status=200")
		ended := logs.eventsOf(t, "r1")
		assertContains(t, ended["call_ended"], "no_upstream", "upstreams_leaving=1", "all 1 upstreams are leaving")
		assertContains(t, ended["upstream_leaving"], "upstream=u1")
	})
}
