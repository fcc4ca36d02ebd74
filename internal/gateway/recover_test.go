package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/reach"
)

// firstTries counts the first tries of callers at a part of the gateways.
type firstTries struct{ sent, served int }

// recoverResult counts the first tries during a partition.
type recoverResult struct {
	mu sync.Mutex
	// cut are the tries at gateways that are partitioned from all upstreams, others
	// those at the rest.
	cut, others firstTries
	// slowestRefusal is the longest time from a call to its refusal.
	slowestRefusal time.Duration
}

// breaks reports whether the result breaks the rule: first tries at the cut
// gateways are served less than two thirds as often as those at the others, and
// more than 10 and one in 50 of all fail there.
func (r *recoverResult) breaks() bool {
	failed := r.cut.sent - r.cut.served
	return 3*r.cut.served*r.others.sent < 2*r.others.served*r.cut.sent && failed > 10+(r.cut.sent+r.others.sent)/50
}

func (r *recoverResult) String() string {
	return fmt.Sprintf("cut gateways served %d of %d first tries, the others %d of %d", r.cut.served, r.cut.sent, r.others.served, r.others.sent)
}

// sendFirstTries sends calls to each gateway, several at a time every interval until
// duration has passed, and waits for the answers.
func (g *gatewayGroup) sendFirstTries(interval, duration time.Duration, atATime int, cut []string) *recoverResult {
	result := &recoverResult{}
	var calls sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		for _, f := range g.forwarders {
			f.state.recordLease(time.Now())
			for range atATime {
				calls.Go(func() { result.call(f, slices.Contains(cut, f.state.gatewayID)) })
			}
		}
	}
	calls.Wait()
	return result
}

func (r *recoverResult) call(f *Forwarder, cut bool) {
	req := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
	req.Host = "host.example"
	req.Header.Set("Balsam-Request-Id", "r1")
	w := httptest.NewRecorder()
	start := time.Now()
	f.ServeHTTP(w, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	tries := &r.others
	if cut {
		tries = &r.cut
	}
	tries.sent++
	if w.Code == http.StatusOK {
		tries.served++
	} else {
		r.slowestRefusal = max(r.slowestRefusal, time.Since(start))
	}
}

// ids returns the IDs "prefix0" to "prefix<n-1>".
func ids(prefix string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i))
	}
	return list
}

// contactTime is the time from the beginning of a partition after which callers
// must be served.
const contactTime = 3 * time.Second

// TestGatewaysCutFromAllUpstreamsServeCalls partitions gateways from all upstreams
// in each of the three ways and checks the rule from contactTime on. After the
// partition the gateways must serve all calls.
func TestGatewaysCutFromAllUpstreamsServeCalls(t *testing.T) {
	t.Parallel()
	for _, state := range []linkState{linkSilent, linkReset, linkOldOnly} {
		for _, tc := range []struct {
			name     string
			cut      []string
			interval time.Duration
			// atATime is the number of calls that come together during the cut.
			atATime int
			// idle is the time without calls before the cut, in which open connections
			// expire.
			idle time.Duration
		}{
			{"a zone", []string{"g0", "g3", "g6"}, 50 * time.Millisecond, 1, 0},
			{"a zone and more", []string{"g0", "g1", "g3", "g5", "g6"}, 50 * time.Millisecond, 1, 0},
			{"one gateway", []string{"g4"}, 50 * time.Millisecond, 1, 0},
			{"most gateways", []string{"g0", "g1", "g2", "g3", "g5", "g6", "g7"}, 50 * time.Millisecond, 1, 0},
			{"few calls", []string{"g0", "g3", "g6"}, 500 * time.Millisecond, 1, 0},
			{"more calls than before", []string{"g0", "g3", "g6"}, 200 * time.Millisecond, 40, 0},
			{"no calls before", []string{"g0", "g1", "g3", "g6"}, 50 * time.Millisecond, 1, 10 * time.Second},
		} {
			t.Run(state.String()+"/"+tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newZonedGroup(t, []string{"a", "b", "c"}, 9, ids("u", 12)...)
					before := g.sendFirstTries(tc.interval, 2*time.Second, 1, tc.cut)
					assert.Equal(t, before.cut.served, before.cut.sent)
					time.Sleep(tc.idle)
					g.setLinks(state, tc.cut...)
					t.Log("first seconds:", g.sendFirstTries(tc.interval, contactTime, tc.atATime, tc.cut))
					during := g.sendFirstTries(tc.interval, 9*time.Second, tc.atATime, tc.cut)
					t.Log(during)
					assert.Assert(t, !during.breaks(), "%s", during)
					assert.Equal(t, during.others.served, during.others.sent)
					g.setLinks(linkUp, tc.cut...)
					g.sendFirstTries(tc.interval, contactTime, 1, tc.cut)
					after := g.sendFirstTries(tc.interval, 2*time.Second, 1, tc.cut)
					assert.Equal(t, after.cut.served, after.cut.sent)
				})
			})
		}
	}
}

// TestLostZoneOfUpstreamsIsNotACut makes all upstreams of a zone stop responding. Gateways
// of that zone, which ask upstreams of their own zone first, must not conclude that
// they have lost all.
func TestLostZoneOfUpstreamsIsNotACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newZonedGroup(t, []string{"a", "b", "c"}, 9, ids("u", 18)...)
		g.sendFirstTries(50*time.Millisecond, 2*time.Second, 1, nil)
		g.loseUpstreams("a")
		for range 100 {
			g.sendFirstTries(50*time.Millisecond, 100*time.Millisecond, 3, nil)
			for _, f := range g.forwarders {
				assert.Equal(t, f.upstreamsLost(), reach.None, "gateway %s", f.state.gatewayID)
			}
		}
	})
}

// TestFullLinkIsNotALoss delays everything between one gateway and all upstreams, as a
// link that is full does. The gateway must not conclude that it has lost them, and
// relay nothing: that would fill the link further.
func TestFullLinkIsNotALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newZonedGroup(t, []string{"a", "b", "c"}, 3, ids("u", 12)...)
		g.sendFirstTries(50*time.Millisecond, time.Second, 1, nil)
		g.setLinks(linkSlow, "g0")
		for range 40 {
			g.sendFirstTries(50*time.Millisecond, 100*time.Millisecond, 2, nil)
			assert.Equal(t, g.forwarders[0].upstreamsLost(), reach.None)
		}
		assert.Equal(t, len(g.relays), 0)
		g.setLinks(linkUp, "g0")
	})
}

// TestBusyUpstreamsAreNotLost lets the few upstreams of a small system answer nothing
// for two seconds, as when all their slots are busy, and refuse no connection. The
// gateways must not conclude that they have lost them: other gateways could not
// serve the calls either, and those in the queue must be served afterwards.
func TestBusyUpstreamsAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newZonedGroup(t, []string{"a", "b"}, 2, "u0", "u1")
		g.sendFirstTries(50*time.Millisecond, time.Second, 1, nil)
		g.setLinks(linkUnanswered, "g0", "g1")
		for range 40 {
			g.sendFirstTries(50*time.Millisecond, 50*time.Millisecond, 1, nil)
			for _, f := range g.forwarders {
				assert.Equal(t, f.upstreamsLost(), reach.None, "gateway %s", f.state.gatewayID)
			}
		}
		g.setLinks(linkUp, "g0", "g1")
	})
}
