package gossip

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/quarantine"
)

// Every VM must be reached from each other one over few others, whatever their number.
func TestSuccessorsReachAllVMsInFewSteps(t *testing.T) {
	const fanout = 3
	for _, n := range []int{1, 2, 3, 4, 5, 6, 7, 22, 100, 196, 449, 1000} {
		steps := int(math.Ceil(math.Log(float64(n))/math.Log(fanout))) + 1
		for start := range n {
			reached := map[int]bool{start: true}
			frontier := []int{start}
			for range steps {
				var next []int
				for _, i := range frontier {
					out := successors(i, n, fanout)
					assert.Assert(t, len(out) <= fanout && len(out) <= n-1)
					for _, j := range out {
						assert.Assert(t, j != i)
						if !reached[j] {
							reached[j] = true
							next = append(next, j)
						}
					}
				}
				frontier = next
			}
			assert.Equal(t, len(reached), n, "%d VMs, from %d after %d steps", n, start, steps)
		}
	}
}

// spreadGroup is a group of services in virtual time, with a delay on each call.
type spreadGroup struct {
	services []*Service
	// reported is set once control reports the lost VMs as silent.
	reported atomic.Bool
	mu       sync.Mutex
	dead     map[string]bool
	// sent holds the calls from each VM by the VM called.
	sent map[string]map[string]int
}

// callFrom is a transport that counts the calls of one VM.
type callFrom struct {
	group *spreadGroup
	id    string
}

// RoundTrip implements http.RoundTripper.
func (c callFrom) RoundTrip(r *http.Request) (*http.Response, error) {
	to := strings.TrimSuffix(r.URL.Host, ":1")
	c.group.mu.Lock()
	if c.group.sent[c.id] == nil {
		c.group.sent[c.id] = make(map[string]int)
	}
	c.group.sent[c.id][to]++
	dead := c.group.dead[to]
	c.group.mu.Unlock()
	if dead {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(spreadDelay)
	for _, s := range c.group.services {
		if s.opts.EntryID == to {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			return w.Result(), nil
		}
	}
	return nil, errors.New("unknown host")
}

// spreadDelay is the time that a call takes.
const spreadDelay = 2 * time.Millisecond

func newSpreadGroup(t *testing.T, n, fanout int) *spreadGroup {
	t.Helper()
	g := &spreadGroup{dead: make(map[string]bool), sent: make(map[string]map[string]int)}
	cfg := &catalogpb.Config{}
	for i := range n {
		id := fmt.Sprintf("g%03d", i)
		cfg.Entries = append(cfg.Entries, &catalogpb.Entry{Id: id, ClusterAddress: id + ":1"})
		g.services = append(g.services, New(Options{
			EntryID: id, Incarnation: 1, Client: &http.Client{Transport: callFrom{g, id}}, Fanout: fanout,
			Limits:    quarantine.Limits{Threshold: 3, Hold: 10 * time.Minute, MaxReports: 1000},
			Reachable: func(id string) bool { return !g.reported.Load() || !g.dead[id] },
		}))
	}
	for _, s := range g.services {
		s.OnConfig(configview.New(cfg))
		go s.Run(t.Context())
	}
	// Calls under way end before the bubble does.
	t.Cleanup(func() { time.Sleep(callTimeout) })
	return g
}

// unaware returns the number of live VMs that do not know of the request.
func (g *spreadGroup) unaware(sig quarantine.Signature) int {
	n := 0
	for _, s := range g.services {
		if !g.dead[s.opts.EntryID] && s.Judge(sig).State == quarantine.Clear {
			n++
		}
	}
	return n
}

// most returns the most calls of one VM, and the most VMs that one has called.
func (g *spreadGroup) most() (calls, partners int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, to := range g.sent {
		n := 0
		for _, c := range to {
			n += c
		}
		calls, partners = max(calls, n), max(partners, len(to))
	}
	return calls, partners
}

// TestSpreadDoesNotGrowWithVMs guards against VMs that hold a connection to each other
// one, and send each report that often: the messages and partners of a VM must not
// grow with the number of VMs.
func TestSpreadDoesNotGrowWithVMs(t *testing.T) {
	const fanout = 3
	for _, n := range []int{6, 22, 196, 449} {
		synctest.Test(t, func(t *testing.T) {
			g := newSpreadGroup(t, n, fanout)
			sig := quarantine.Signature{Service: "lotboard", Exact: "f"}
			start := time.Now()
			g.services[n/2].Crashed(sig, quarantine.Crash{Upstream: "u1"}, false)
			for g.unaware(sig) > 0 {
				assert.Assert(t, time.Since(start) < time.Second)
				time.Sleep(spreadDelay / 2)
			}
			steps := time.Duration(math.Ceil(math.Log(float64(n))/math.Log(fanout))) + 1
			assert.Assert(t, time.Since(start) <= (steps+1)*spreadDelay, "%d VMs after %s", n, time.Since(start))
			time.Sleep(100 * time.Millisecond)
			calls, partners := g.most()
			assert.Assert(t, calls <= fanout && partners <= fanout, "one of %d VMs made %d calls, one to %d others", n, calls, partners)
			// Comparisons go to the same few.
			time.Sleep(30 * time.Second)
			_, partners = g.most()
			assert.Assert(t, partners <= fanout, "one of %d VMs called %d others", n, partners)
		})
	}
}

// TestReportsArriveDespiteLostVMs checks that reports reach all that live while others
// do not answer, and the way around them is not known yet.
func TestReportsArriveDespiteLostVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 196
		g := newSpreadGroup(t, n, 3)
		for i := range n {
			// 55 percent are lost, as in the loss of most VMs at once.
			if i%20 < 11 {
				g.dead[g.services[i].opts.EntryID] = true
			}
		}
		sig := quarantine.Signature{Service: "lotboard", Exact: "f"}
		start := time.Now()
		g.services[15].Crashed(sig, quarantine.Crash{Upstream: "u1"}, false)
		time.Sleep(time.Second)
		t.Logf("%d of 88 VMs do not know after 1 s", g.unaware(sig))
		g.reported.Store(true)
		for g.unaware(sig) > 0 {
			assert.Assert(t, time.Since(start) < 6*time.Second, "%d VMs do not know", g.unaware(sig))
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("all know after %s", time.Since(start))
	})
}
