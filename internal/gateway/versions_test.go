package gateway

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/configsync"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/rollout"
	"balsamcourse.example/balsamcourse/internal/settings"
)

const (
	active     = catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE
	shifting   = catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING
	completed  = catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED
	rolledBack = catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK
)

// Guards against gateways that send a version requests which it must not get yet, or no
// longer.
func TestVersionRule(t *testing.T) {
	u := func(software string, started uint64) balance.Upstream {
		return balance.Upstream{Software: software, Started: started}
	}
	both := []balance.Upstream{u("v1", 5), u("v1", 4), u("v2", 3), u("v2", 2), u("v2", 1)}
	order := func(state catalogpb.RolloutState, permille uint32) *catalogpb.Rollout {
		return &catalogpb.Rollout{Target: "v2", State: state, ShiftPermille: permille, StartedRevision: 7}
	}
	for name, tc := range map[string]struct {
		recorded  string
		newest    *catalogpb.Rollout
		upstreams []balance.Upstream
		usual     string
		splits    bool
	}{
		"no order":                            {"v1", nil, both, "v1", false},
		"active":                              {"v1", order(active, 0), both, "v1", true},
		"active, old upstreams gone":          {"v1", order(active, 0), both[2:], "v1", true},
		"shifting":                            {"v1", order(shifting, 250), both, "v1", true},
		"shifting, old upstreams gone":        {"v1", order(shifting, 250), both[2:], "v2", false},
		"shifted":                             {"v1", order(shifting, 1000), both, "v2", false},
		"completed":                           {"v1", order(completed, 1000), both, "v2", false},
		"rolled back":                         {"v1", order(rolledBack, 0), both, "v1", false},
		"same version":                        {"v2", order(active, 0), both, "v2", false},
		"none recorded, most upstreams":       {"", nil, both, "v2", false},
		"none recorded, earliest start":       {"", nil, both[:4], "v2", false},
		"none recorded, target is left out":   {"", order(rolledBack, 0), both, "v1", false},
		"none recorded, nothing is announced": {"", nil, nil, "", false},
	} {
		r := newVersionRule(tc.recorded, tc.recorded != "", tc.newest, tc.upstreams)
		assert.Equal(t, r.usual(), tc.usual, name)
		assert.Equal(t, r.splits(), tc.splits, name)
	}
}

// newVersionGroup returns n gateways, three zones, and upstreams o0, o1... of version v1,
// which is recorded, and n0, n1... of v2.
func newVersionGroup(t *testing.T, share float64, n, oldCount, newCount int) *gatewayGroup {
	t.Helper()
	var ids []string
	for i := range oldCount {
		ids = append(ids, fmt.Sprint("o", i))
	}
	for i := range newCount {
		ids = append(ids, fmt.Sprint("n", i))
	}
	g := newZonedGroup(t, []string{"a", "b", "c"}, 0, ids...)
	g.rollout = settings.Rollout{Share: share}
	for _, u := range g.cfg.Upstreams {
		u.Software = map[byte]string{'o': "v1", 'n': "v2"}[u.Id[0]]
	}
	g.cfg.PoolSoftware = []*catalogpb.PoolSoftware{{Pool: "p", Software: "v1"}}
	for i := range n {
		id := fmt.Sprint("g", i)
		g.cfg.Entries = append(g.cfg.Entries, &catalogpb.Entry{Id: id, ClusterAddress: id + ":2", Zone: []string{"a", "b", "c"}[i%3]})
	}
	for i := range n {
		g.forwarders = append(g.forwarders, g.newForwarder(t, fmt.Sprint("g", i)))
	}
	return g
}

// commit gives all gateways that are not cut off a configuration with the roll-out in the
// given state.
func (g *gatewayGroup) commit(state catalogpb.RolloutState, permille uint32) {
	cfg := proto.CloneOf(g.cfg)
	cfg.Revision++
	if state == active {
		cfg.Rollouts = []*catalogpb.Rollout{{Pool: "p", Target: "v2", StartedRevision: cfg.Revision}}
	}
	cfg.Rollouts[0].State, cfg.Rollouts[0].ShiftPermille, cfg.Rollouts[0].ChangedRevision = state, permille, cfg.Revision
	if state == completed {
		cfg.PoolSoftware[0].Software = "v2"
	}
	g.cfg = cfg
	for _, f := range g.forwarders {
		if !g.isCutOff(f) {
			f.state.applyConfig(configview.New(cfg))
		}
	}
}

// countVersion returns the number of requests, and of requests and probes together, that
// arrived at upstreams whose ID starts with prefix since from, and at how many upstreams.
func (g *gatewayGroup) countVersion(prefix string, from time.Time) (requests, all, upstreams int) {
	for _, u := range g.upstreams {
		if strings.HasPrefix(u.id, prefix) {
			r, a := u.arrivals(from.Sub(u.start), time.Hour)
			requests, all = requests+r, all+a
			upstreams += min(a, 1)
		}
	}
	return requests, all, upstreams
}

// Guards against a version that gets requests before its roll-out, more than its share
// before the verdict or anything after a roll-back, and against an old one that gets some
// after the roll-out has been completed, while gateways restart and one is cut off.
func TestRolloutAcrossGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVersionGroup(t, 0.1, 10, 6, 6)
		g.cutOff(g.forwarders[9])
		start := time.Now()
		assert.Equal(t, g.sendCalls(20*time.Millisecond, time.Second).refused, 0)
		_, all, _ := g.countVersion("n", start)
		assert.Equal(t, all, 0, "requests and probes before the order")

		g.commit(active, 0)
		start = time.Now()
		for i := range 9 {
			assert.Equal(t, g.sendCalls(20*time.Millisecond, time.Second).refused, 0)
			g.stop(g.forwarders[i])
			g.restart(t, i)
		}
		// A gateway without links to upstreams relays its calls.
		g.setLinks(linkReset, "g8")
		g.sendCalls(20*time.Millisecond, 2*time.Second)
		g.setLinks(linkUp, "g8")
		time.Sleep(2 * time.Second)
		drawn, _, few := g.countVersion("n", start)
		old, _, _ := g.countVersion("o", start)
		t.Logf("%d of %d requests on %d upstreams of the new version", drawn, drawn+old, few)
		const roundings = 19
		assert.Assert(t, float64(drawn) <= 0.1*float64(drawn+old)+roundings, "%d of %d", drawn, drawn+old)
		assert.Assert(t, drawn > (drawn+old)/20, "%d of %d", drawn, drawn+old)
		assert.Equal(t, few, 3)
		// Of the few, one at a time gets the requests, so that it is as full as the old.
		perPeriod := make(map[int64]map[string]int)
		for _, u := range g.upstreams {
			for _, a := range u.arrived {
				period := u.start.Add(a.at).UnixNano() / int64(rollout.FocusPeriod)
				if u.id[0] == 'n' && !a.probe {
					if perPeriod[period] == nil {
						perPeriod[period] = make(map[string]int)
					}
					perPeriod[period][u.id]++
				}
			}
		}
		focused := 0
		for _, requests := range perPeriod {
			focused += slices.Max(slices.Collect(maps.Values(requests)))
		}
		assert.Assert(t, focused > drawn*9/10, "%d of %d", focused, drawn)
		for _, u := range g.upstreams {
			for _, a := range u.arrived {
				assert.Assert(t, a.gateway[:2] != "g9" || u.id[0] == 'o', "%s sent to %s without the order", a.gateway, u.id)
			}
		}

		g.forwarders[0].state.sinceNewest = func() time.Duration { return time.Second }
		start = time.Now()
		assert.Equal(t, g.sendCalls(20*time.Millisecond, time.Second).refused, 0)
		for _, u := range g.upstreams {
			for _, a := range u.arrived {
				assert.Assert(t, u.id[0] == 'o' || a.at < start.Sub(u.start) || !strings.HasPrefix(a.gateway, "g0"), "a gateway without control sent to %s", u.id)
			}
		}

		g.commit(rolledBack, 0)
		start = time.Now()
		assert.Equal(t, g.sendCalls(20*time.Millisecond, time.Second).refused, 0)
		_, all, _ = g.countVersion("n", start)
		assert.Equal(t, all, 0, "requests and probes after the roll-back")

		g.reconnect(g.forwarders[9])
		g.commit(active, 0)
		g.commit(shifting, 500)
		start = time.Now()
		assert.Equal(t, g.sendCalls(20*time.Millisecond, time.Second).refused, 0)
		moved, _, spread := g.countVersion("n", start)
		old, _, _ = g.countVersion("o", start)
		assert.Equal(t, spread, 6)
		assert.Assert(t, moved > 200 && old > 200, "%d moved, %d not", moved, old)

		g.commit(shifting, 1000)
		g.commit(completed, 1000)
		start = time.Now()
		assert.Equal(t, g.sendCalls(20*time.Millisecond, time.Second).refused, 0)
		_, all, _ = g.countVersion("o", start)
		assert.Equal(t, all, 0, "requests and probes to the old version after the end")
	})
}

// Guards against settings without roll-outs in which versions still decide.
func TestVersionsAreIgnoredWithoutSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVersionGroup(t, 0, 3, 3, 3)
		start := time.Now()
		g.commit(active, 0)
		assert.Equal(t, g.sendCalls(5*time.Millisecond, time.Second).refused, 0)
		_, _, upstreams := g.countVersion("", start)
		assert.Equal(t, upstreams, 6)
		assert.Equal(t, len(g.forwarders[0].state.rolloutEvidence()), 0)
	})
}

// answerStatus answers requests, but not probes, with the status.
func answerStatus(id string, status int, after time.Duration) func(net.Conn, *http.Request) answered {
	return func(conn net.Conn, r *http.Request) answered {
		if r.URL.Path == "/health" {
			return notAnswered
		}
		time.Sleep(after)
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nBalsam-Upstream: %s\r\nBalsam-Load: 0 0 100 100\r\nBalsam-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
			status, id, r.Header.Get("Balsam-Request-Id"))
		return keptOpen
	}
}

// Guards against bad answers that reach callers or go unreported, and against a gateway
// that goes on sending to a version which its own evidence convicts.
func TestBadVersionIsReportedAndWithdrawn(t *testing.T) {
	cases := map[string]struct {
		status int
		after  time.Duration
		bad    func(rollout.Outcomes) uint64
	}{
		"fails":     {status: 500, bad: func(o rollout.Outcomes) uint64 { return o.Failures }},
		"malformed": {status: 503, bad: func(o rollout.Outcomes) uint64 { return o.Malformed }},
		"slow":      {status: 200, after: 100 * time.Millisecond, bad: func(o rollout.Outcomes) uint64 { return o.Slow }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newVersionGroup(t, 0.1, 1, 4, 4)
				st := g.forwarders[0].state
				g.sendCalls(20*time.Millisecond, 2*time.Second)
				for _, u := range g.upstreams {
					if u.id[0] == 'n' {
						u.setRespond(answerStatus(u.id, tc.status, tc.after))
					}
				}
				var typical time.Duration
				st.versions.judge = func(o rollout.Observation) rollout.Decision {
					typical = st.typicalTimes["safe"]
					for cell, outcomes := range o.Evidence {
						if cell.New && outcomes.Bad() >= 3 {
							return rollout.Decision{Verdict: rollout.Bad, Reason: "test"}
						}
					}
					return rollout.Decision{}
				}
				var mu sync.Mutex
				var reported []*clusterpb.RolloutEvidence
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go st.reportEvidence(ctx, func(_ context.Context, e []*clusterpb.RolloutEvidence) error {
					mu.Lock()
					defer mu.Unlock()
					reported = e
					return nil
				})
				g.commit(active, 0)
				assert.Equal(t, g.sendCalls(20*time.Millisecond, 10*time.Second).refused, 0)
				withdrawn := time.Now()
				assert.Equal(t, g.sendCalls(20*time.Millisecond, time.Second).refused, 0)
				_, all, _ := g.countVersion("n", withdrawn)
				assert.Equal(t, all, 0)

				assert.Assert(t, typical < 21*time.Millisecond, "typical time of %s, which the new version has changed", typical)
				mu.Lock()
				defer mu.Unlock()
				assert.Equal(t, len(reported), 1)
				assert.Assert(t, reported[0].Withdrawn)
				var bad, good uint64
				for cell, o := range rollout.EvidenceOf(reported[0]) {
					if cell.New {
						bad += tc.bad(o)
						assert.Equal(t, tc.bad(o), o.Requests)
					} else {
						good += o.Timed - o.Bad()
					}
				}
				assert.Assert(t, bad >= 3 && good > 0, "%d bad, %d good", bad, good)
			})
		})
	}
}

// Guards against a request that is sent to the new version after the gateway has learned
// of the roll-back, with an upstream that was reserved before.
func TestReservedRequestIsNotSentAfterRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVersionGroup(t, 1, 1, 1, 1)
		f := g.forwarders[0]
		g.commit(active, 0)
		asked := 0
		f.state.awaitRefresh = func(context.Context) bool {
			// The first time is before the search, the second one after it.
			if asked++; asked == 2 {
				g.commit(rolledBack, 0)
			}
			return false
		}
		var results callResults
		results.call(f)
		assert.Equal(t, results.served, 1)
		requests, probes, _ := g.countVersion("n", time.Time{})
		assert.Equal(t, requests, 0)
		assert.Assert(t, probes > 0, "the new version was not chosen")
	})
}

// Guards against calls that wait for the old version when it no longer gets requests, and
// against a report that it gets nothing more while requests are in flight there.
func TestWaitingCallsMoveToTheNewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVersionGroup(t, 0.1, 1, 1, 1)
		f := g.forwarders[0]
		g.upstreams["n0:1"].cold = true
		g.upstreams["o0:1"].work = 300 * time.Millisecond
		var full atomic.Bool
		g.upstreams["o0:1"].setRespond(func(conn net.Conn, r *http.Request) answered {
			if r.URL.Path != "/health" || !full.Load() {
				return notAnswered
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: o0\r\nBalsam-Load: 100 5 100 100\r\nContent-Length: 0\r\n\r\n")
			return keptOpen
		})
		g.commit(active, 0)
		var results callResults
		var calls sync.WaitGroup
		calls.Go(func() { results.call(f) })
		time.Sleep(50 * time.Millisecond)
		full.Store(true)
		calls.Go(func() { results.call(f) })
		time.Sleep(100 * time.Millisecond)
		old := f.state.rolloutEvidence()[0].OldInFlight
		assert.Equal(t, old, uint32(2), "one in flight, one waiting")
		g.upstreams["n0:1"].mu.Lock()
		g.upstreams["n0:1"].cold = false
		g.upstreams["n0:1"].mu.Unlock()

		var mu sync.Mutex
		var reported []uint32
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.state.reportEvidence(ctx, func(_ context.Context, e []*clusterpb.RolloutEvidence) error {
			mu.Lock()
			defer mu.Unlock()
			reported = append(reported, e[0].OldInFlight)
			return nil
		})
		g.commit(shifting, 1000)
		assert.Equal(t, f.state.rolloutEvidence()[0].OldInFlight, uint32(1))
		assert.Equal(t, f.state.rolloutEvidence()[0].AppliedRevision, g.cfg.Revision)
		calls.Wait()
		time.Sleep(time.Second)
		assert.Equal(t, results.served, 2)
		requests, _, _ := g.countVersion("n", time.Time{})
		assert.Equal(t, requests, 1)
		mu.Lock()
		defer mu.Unlock()
		assert.DeepEqual(t, reported, []uint32{0})
	})
}

// Guards against drawn requests that each wait for new upstreams which don't answer.
func TestSilentNewVersionDelaysFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newVersionGroup(t, 0.1, 1, 3, 3)
		for _, u := range g.upstreams {
			if u.id[0] == 'n' {
				u.setRespond(func(net.Conn, *http.Request) answered { return keptOpen })
			}
		}
		g.commit(active, 0)
		var results callResults
		delayed := 0
		for range 500 {
			start := time.Now()
			results.call(g.forwarders[0])
			if time.Since(start) > probeTimeout {
				delayed++
			}
		}
		assert.Equal(t, results.served, 500)
		assert.Assert(t, delayed <= 20, "%d of about 50 drawn", delayed)
		t.Logf("%d of 500 calls delayed", delayed)
	})
}

// Guards against evidence that waits for the next renewal because the first control VM
// does not answer.
func TestEvidenceGoesToAnotherControlVM(t *testing.T) {
	var reports atomic.Int32
	live := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reports.Add(1) }))
	defer live.Close()
	dead := httptest.NewServer(nil)
	dead.Close()
	d := &Daemon{client: http.DefaultClient, config: configsync.New(configsync.Options{
		Entry: &catalogpb.Entry{}, ControlAddresses: []string{dead.Listener.Addr().String(), live.Listener.Addr().String()},
	})}
	for range 8 {
		assert.NilError(t, d.sendEvidence(t.Context(), nil))
	}
	assert.Equal(t, reports.Load(), int32(8))
}
