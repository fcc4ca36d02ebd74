package gateway

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/explain"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/organisation"
)

// newKeyedConfig returns a configuration with the public route open and the
// organisations.
func newKeyedConfig(upstreams []*fakeUpstream, organisations ...*catalogpb.Organisation) *catalogpb.Config {
	cfg := newConfig(upstreams...)
	open := newRoute("open", catalogpb.RouteKind_ROUTE_KIND_SAFE)
	open.Public = true
	cfg.Routes = append(cfg.Routes, open)
	cfg.Organisations = organisations
	return cfg
}

// nextState returns cfg with the given organisations as the next version.
func nextState(cfg *catalogpb.Config, organisations ...*catalogpb.Organisation) *configview.View {
	next := proto.CloneOf(cfg)
	next.StateVersion++
	next.Revision++
	next.Organisations = organisations
	return configview.New(next)
}

// send sends a call with the header and returns its status and header.
func (fx *fixture) send(t *testing.T, path string, header http.Header) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, fx.server.URL+path, nil)
	assert.NilError(t, err)
	r.Host = "host.example"
	r.Header = header
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode, resp.Header
}

func keyHeader(id, key string) http.Header {
	return http.Header{"Balsam-Request-Id": {id}, "Balsam-Api-Key": {key}}
}

// TestUpstreamsGetTheOrganisationAndNeverTheKey guards against headers of callers that
// name another organisation, and against keys that reach upstreams, whatever the
// spelling of the header and whether or not the state has organisations.
func TestUpstreamsGetTheOrganisationAndNeverTheKey(t *testing.T) {
	const key = "secret-key"
	cases := []struct {
		name, path    string
		header        http.Header
		organisations bool
		status        int
		want          []string
	}{
		{"known key", "/safe/x", http.Header{"Balsam-Api-Key": {key}}, true, 200, []string{"a"}},
		{"lower case", "/safe/x", http.Header{"balsam-api-key": {key}, "balsam-organisation": {"b"}}, true, 200, []string{"a"}},
		{"twice", "/safe/x", http.Header{"Balsam-Api-Key": {key, key}, "Balsam-Organisation": {"b", "c"}}, true, 200, []string{"a"}},
		{"listed in Connection", "/safe/x", http.Header{"Balsam-Api-Key": {key}, "Connection": {"Balsam-Organisation, Balsam-Api-Key"}}, true, 200, []string{"a"}},
		{"public route with key", "/open/x", http.Header{"Balsam-Api-Key": {key}, "Balsam-Organisation": {"b"}}, true, 200, []string{"a"}},
		{"public route without key", "/open/x", http.Header{"Balsam-Organisation": {"b"}}, true, 200, nil},
		{"state without organisations", "/safe/x", http.Header{"Balsam-Api-Key": {key}, "Balsam-Organisation": {"b"}}, false, 200, nil},
		{"two different keys", "/safe/x", http.Header{"Balsam-Api-Key": {key, "other"}}, true, 401, nil},
		{"missing key", "/safe/x", http.Header{"Balsam-Organisation": {"a"}}, true, 401, nil},
	}
	for _, relayed := range []bool{false, true} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s, relayed=%v", c.name, relayed), func(t *testing.T) {
				var headers headerRecorder
				s := startFakeUpstream(t, "u1", nil)
				respondOK(s)
				s.onRequest = headers.record
				var known []*catalogpb.Organisation
				if c.organisations {
					known = []*catalogpb.Organisation{newOrganisation("a", key), newOrganisation("b", "key of b")}
				}
				cfg := newKeyedConfig([]*fakeUpstream{s}, known...)
				header := c.header.Clone()
				header["Balsam-Request-Id"] = []string{"r1"}
				// A forged header of the protocol between gateways.
				header[relayAPIKey] = []string{"key of b"}
				var status int
				if relayed {
					gateways := startRelayGateways(t, 2, 1, s)
					for _, g := range gateways {
						next := nextState(cfg, known...)
						next.Config.Entries = g.state.config.Load().Entries
						g.state.applyConfig(configview.New(next.Config))
					}
					status, _ = (&fixture{server: gateways[0].callers}).send(t, c.path, header)
				} else {
					status, _ = startForwarder(t, cfg).send(t, c.path, header)
				}
				assert.Equal(t, status, c.status)
				if c.status != 200 {
					assert.Equal(t, len(s.requests()), 0)
					return
				}
				got := headers.newest()
				assert.DeepEqual(t, got.Values("Balsam-Organisation"), c.want)
				for name, values := range got {
					assert.Assert(t, !strings.Contains(strings.Join(values, " "), key), "the upstream got the API key in %s", name)
				}
			})
		}
	}
}

// TestRemovedKeyIsNotSentAfterAWait removes a key, or lets the confirmation of the
// state become too old, while a call waits between its arrival and an attempt. The
// request must not run after that.
func TestRemovedKeyIsNotSentAfterAWait(t *testing.T) {
	const key = "k1"
	changes := []struct {
		name   string
		status int
		change func(fx *fixture, cfg *catalogpb.Config, age *atomic.Int64)
	}{
		{"key removed", 401, func(fx *fixture, cfg *catalogpb.Config, _ *atomic.Int64) {
			fx.state.applyConfig(nextState(cfg, newOrganisation("a", "k2")))
		}},
		{"last key removed", 401, func(fx *fixture, cfg *catalogpb.Config, _ *atomic.Int64) {
			fx.state.applyConfig(nextState(cfg, newOrganisation("a")))
		}},
		{"state not confirmed for too long", 503, func(_ *fixture, _ *catalogpb.Config, age *atomic.Int64) {
			age.Store(int64(5 * time.Second))
		}},
		{"VM suspended", 503, func(_ *fixture, _ *catalogpb.Config, age *atomic.Int64) { age.Store(math.MaxInt64) }},
	}
	start := func(t *testing.T, upstreams ...*fakeUpstream) (*fixture, *catalogpb.Config, *atomic.Int64) {
		cfg := newKeyedConfig(upstreams, newOrganisation("a", key))
		fx := startForwarder(t, cfg)
		var age atomic.Int64
		fx.state.sinceNewest = func() time.Duration { return time.Duration(age.Load()) }
		fx.state.keyBounds = organisation.NewBounds(5 * time.Second)
		return fx, cfg, &age
	}
	for _, c := range changes {
		t.Run("queue/"+c.name, func(t *testing.T) {
			s := startFakeUpstream(t, "u1", nil)
			respondOK(s)
			s.setLoad("2 0 2 100")
			fx, cfg, age := start(t, s)
			status := make(chan int, 1)
			go func() {
				code, _ := fx.send(t, "/safe/x", keyHeader("r1", key))
				status <- code
			}()
			waitUntil(t, "the call is not queued", func() bool {
				fx.state.mu.Lock()
				defer fx.state.mu.Unlock()
				return fx.state.queue("p").waiters.Len() == 1
			})
			c.change(fx, cfg, age)
			s.setLoad("0 0 2 100")
			assert.Equal(t, <-status, c.status)
			assert.Equal(t, len(s.requests()), 0)
			fx.state.mu.Lock()
			defer fx.state.mu.Unlock()
			assert.Equal(t, fx.state.balancer.InFlight("p"), 0, "the slot of the refused call was not released")
		})
		for _, ran := range []bool{false, true} {
			t.Run(fmt.Sprintf("retry/ran=%v/%s", ran, c.name), func(t *testing.T) {
				var once sync.Once
				var fx *fixture
				var cfg *catalogpb.Config
				var age *atomic.Int64
				var upstreams []*fakeUpstream
				for i := range 2 {
					s := startFakeUpstream(t, fmt.Sprint("u", i), nil)
					s.respond = func(w io.Writer, r *http.Request) bool {
						once.Do(func() { c.change(fx, cfg, age) })
						return !ran && s.responder(503, "Balsam-Not-Run: 1\r\n", "")(w, r)
					}
					upstreams = append(upstreams, s)
				}
				fx, cfg, age = start(t, upstreams...)
				status, h := fx.send(t, "/safe/x", keyHeader("r1", key))
				assert.Equal(t, len(upstreams[0].requests())+len(upstreams[1].requests()), 1)
				if ran {
					assert.Equal(t, status, 502, "an answer that says that the request did not run")
					return
				}
				assert.Equal(t, status, c.status)
				assert.Equal(t, h.Get(fault.HeaderRun), string(fault.NotRun))
			})
		}
	}
}

// TestRelayedCallIsCheckedByTheGatewayThatSendsIt relays calls to a gateway whose state
// does not allow them, while that of the first gateway does.
func TestRelayedCallIsCheckedByTheGatewayThatSendsIt(t *testing.T) {
	for name, age := range map[string]time.Duration{"key removed": 0, "not confirmed": 5 * time.Second} {
		s := startFakeUpstream(t, "u1", nil)
		respondOK(s)
		gateways := startRelayGateways(t, 2, 1, s)
		cfg := newKeyedConfig([]*fakeUpstream{s})
		cfg.Entries = gateways[0].state.config.Load().Entries
		gateways[0].state.applyConfig(nextState(cfg, newOrganisation("a", "k1")))
		key := "k1"
		if age == 0 {
			key = "k2"
		}
		gateways[1].state.applyConfig(nextState(cfg, newOrganisation("a", key)))
		gateways[1].state.sinceNewest = func() time.Duration { return age }
		gateways[1].state.keyBounds = organisation.NewBounds(5 * time.Second)
		status, _ := (&fixture{server: gateways[0].callers}).send(t, "/safe/x", keyHeader("r1", "k1"))
		assert.Equal(t, status, 503, name)
		assert.Equal(t, gateways[1].relayed.Load(), int32(1), name)
		assert.Equal(t, len(s.requests()), 0, name)
	}
}

// TestUnconfirmedStateIsNoReasonToDenyAKey guards against a 401, which callers take as
// final, from a gateway that may not know a key yet.
func TestUnconfirmedStateIsNoReasonToDenyAKey(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	fx := startForwarder(t, newKeyedConfig([]*fakeUpstream{s}, newOrganisation("a", "k1")))
	var age atomic.Int64
	fx.state.sinceNewest = func() time.Duration { return time.Duration(age.Load()) }
	for _, confirmed := range []bool{true, false} {
		if !confirmed {
			age.Store(int64(2 * time.Second))
		}
		for _, header := range []http.Header{keyHeader("r1", "new"), {"Balsam-Request-Id": {"r1"}}} {
			status, h := fx.send(t, "/safe/x", header)
			assertDenied(t, fmt.Sprint(header), confirmed, http.StatusUnauthorized, status, h)
		}
	}
	assert.Equal(t, len(s.requests()), 0)
	status, _ := fx.send(t, "/safe/x", keyHeader("r1", "k1"))
	assert.Equal(t, status, 200, "without revoke_within_ms, an old state serves its keys")
}

// TestRefusalSaysWhyWithoutTheKey reads the timeline of refused calls from the log.
func TestRefusalSaysWhyWithoutTheKey(t *testing.T) {
	var logs bytes.Buffer
	s := startFakeUpstream(t, "u1", nil)
	fx := startForwarderWithLog(t, newKeyedConfig([]*fakeUpstream{s}, newOrganisation("a", "k1-secret")), event.NewLogger(&logs, zerolog.DebugLevel, "gateway", "g1"))
	fx.state.keyBounds = organisation.NewBounds(5 * time.Second)
	digest := organisation.DigestOf("other-secret").String()
	fx.send(t, "/safe/x", keyHeader("r1", "other-secret"))
	fx.send(t, "/safe/x", http.Header{"Balsam-Request-Id": {"r1"}})
	fx.state.sinceNewest = func() time.Duration { return 5 * time.Second }
	fx.send(t, "/safe/x", keyHeader("r1", "k1-secret"))
	fx.server.Close()
	assert.Assert(t, !strings.Contains(logs.String(), "secret"), logs.String())
	lines, err := explain.Read(&logs)
	assert.NilError(t, err)
	timeline := fmt.Sprint(explain.Timeline(lines, "r1"))
	for _, want := range []string{"API key with digest " + digest, "needs an API key", `organisation "a" may have been removed`, "5000 ms, limit is 4750 ms", "organisation=a"} {
		assert.Assert(t, strings.Contains(timeline, want), "the timeline lacks %q:\n%s", want, timeline)
	}
}

// TestPriorityOfTheOrganisationComesBeforeThatOfTheRoute queues calls while the
// upstream is full: the order in which they run must follow the priorities of their
// organisations.
func TestPriorityOfTheOrganisationComesBeforeThatOfTheRoute(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	s.setLoad("2 0 2 100")
	first, last := newOrganisation("first", "k1"), newOrganisation("last", "k2")
	first.Priority, last.Priority = proto.Uint32(0), proto.Uint32(9)
	cfg := newKeyedConfig([]*fakeUpstream{s}, first, last, newOrganisation("as the route", "k3"))
	cfg.Routes[0].Priority = 5
	fx := startForwarder(t, cfg)
	var calls sync.WaitGroup
	defer calls.Wait()
	for i, id := range []string{"k2", "k3", "k1"} {
		calls.Go(func() { fx.send(t, "/safe/x", keyHeader(id, id)) })
		waitUntil(t, "the call is not queued", func() bool {
			fx.state.mu.Lock()
			defer fx.state.mu.Unlock()
			return fx.state.queue("p").waiters.Len() == i+1
		})
	}
	var order []string
	fx.state.mu.Lock()
	for range 3 {
		w, ok := fx.state.queue("p").waiters.Dequeue(fx.state.now(), "u1", 1)
		assert.Assert(t, ok)
		order = append(order, fmt.Sprint(w.Priority))
		fx.state.queue("p").reservations[w.ID] <- reservation{}
	}
	fx.state.mu.Unlock()
	// Every third call from the first on is one of the lowest priority.
	assert.DeepEqual(t, order, []string{"9", "0", "5"})
}
