package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// allowedLateAttempts is the number of client attempts of a crashing request that
	// may reach upstreams later than crashContact after its third crash.
	allowedLateAttempts = 3
	crashContact        = 3 * time.Second
	// timeToCrash is the time that a crashing request runs before the upstream ends,
	// restartTime the time until the upstream is back under another ID.
	timeToCrash = 80 * time.Millisecond
	restartTime = 4 * time.Second
	// crashHistory is the length of a history.
	crashHistory = 25 * time.Second
)

// crashGroup is a group of gateways that exchange crash reports. Its upstreams have
// two slots each; all that run a crashing request end.
type crashGroup struct {
	*gatewayGroup
	t     *testing.T
	rand  *rand.Rand
	calls sync.WaitGroup

	mu sync.Mutex
	// running and down hold the state of the upstreams by address.
	running map[string]int
	down    map[string]bool
	starts  int
	// crashes holds the times of the crashes by crashing request, arrivals the first
	// time at which an attempt of a client reached an upstream.
	crashes  map[string][]time.Time
	arrivals map[string]map[string]time.Time
	// harmless counts the answers to harmless requests by status or kind of error.
	harmless map[string]int
	// slowest is the longest time until a harmless request was served.
	slowest time.Duration
	// refusals holds the times of the refusals of harmless requests as suspect or
	// quarantined, by target.
	refusals map[string][]time.Time
}

// crashingRequest is one variant of a request that ends each upstream that runs it.
type crashingRequest struct{ name, caller, target string }

func newCrashGroup(t *testing.T, seed uint64) *crashGroup {
	t.Helper()
	var ids []string
	for i := range 13 {
		ids = append(ids, fmt.Sprint("u", i))
	}
	g := &crashGroup{
		gatewayGroup: newGatewayGroup(t, 6, ids...), t: t, rand: rand.New(rand.NewPCG(seed, 0)),
		running: make(map[string]int), down: make(map[string]bool),
		crashes: make(map[string][]time.Time), arrivals: make(map[string]map[string]time.Time), harmless: make(map[string]int),
		refusals: make(map[string][]time.Time),
	}
	for _, r := range g.cfg.Routes {
		r.TimeoutMs = 15_000
		r.TargetLatencyMs = 2_000
	}
	// Without a new version the routes stay as they were.
	g.cfg.StateVersion++
	for _, u := range g.cfg.Upstreams {
		u.Slots = 2
		g.upstreams[u.Address].setRespond(func(conn net.Conn, r *http.Request) answered { return g.respond(u.Address, conn, r) })
	}
	services := make(map[string]*gossip.Service)
	client := &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		services[strings.TrimSuffix(r.URL.Host, ":2")].Handler().ServeHTTP(w, r)
		return w.Result(), nil
	})}
	for _, f := range g.forwarders {
		id := f.state.gatewayID
		s := gossip.New(gossip.Options{
			EntryID: id, Incarnation: 1, Client: client,
			Limits: quarantine.Limits{Threshold: 3, Hold: 10 * time.Minute, MaxReports: 10_000},
		})
		s.OnConfig(configview.New(g.cfg))
		services[id] = s
		f.opts.Crashes = s
		f.opts.Random = g.random
	}
	for _, s := range services {
		go s.Run(g.background)
	}
	g.applyConfig()
	go wait.Every(g.background, 200*time.Millisecond, g.renewLeases)
	return g
}

// renewLeases lets control renew the leases of all gateways.
func (g *crashGroup) renewLeases() {
	g.mu.Lock()
	forwarders := g.forwarders
	g.mu.Unlock()
	for _, f := range forwarders {
		f.state.recordLease(time.Now())
	}
}

// random returns a random number in [0, 1) for the searches of the gateways.
func (g *crashGroup) random() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rand.Float64()
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (g *crashGroup) applyConfig() {
	g.mu.Lock()
	cfg := proto.Clone(g.cfg).(*catalogpb.Config)
	g.mu.Unlock()
	for _, f := range g.forwarders {
		f.state.applyConfig(configview.New(cfg))
	}
}

// respond serves one request or probe of an upstream.
func (g *crashGroup) respond(address string, conn net.Conn, r *http.Request) answered {
	g.mu.Lock()
	down, running := g.down[address], g.running[address]
	id := g.idAt(address)
	g.mu.Unlock()
	switch {
	case down:
		return broken
	case r.URL.Path == "/health":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: %d 0 2 100\r\nContent-Length: 0\r\n\r\n", id, running)
		return keptOpen
	}
	g.countRunning(address, 1)
	defer g.countRunning(address, -1)
	if name := r.Header.Get("Test-Crashes"); name != "" {
		g.recordArrival(name, r.Header.Get("Balsam-Request-Id"))
		time.Sleep(timeToCrash)
		g.crash(name, address)
		return broken
	}
	time.Sleep(300 * time.Millisecond)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: %d 0 2 100\r\nBalsam-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
		id, running, r.Header.Get("Balsam-Request-Id"))
	return keptOpen
}

// idAt returns the ID of the upstream at the address. g.mu must be held.
func (g *crashGroup) idAt(address string) string {
	for _, u := range g.cfg.Upstreams {
		if u.Address == address {
			return u.Id
		}
	}
	return ""
}

func (g *crashGroup) countRunning(address string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[address] += n
}

func (g *crashGroup) recordArrival(name, attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.arrivals[name] == nil {
		g.arrivals[name] = make(map[string]time.Time)
	}
	if _, ok := g.arrivals[name][attempt]; !ok {
		g.arrivals[name][attempt] = time.Now()
	}
}

// crash ends the upstream at the address, with all requests that it runs.
func (g *crashGroup) crash(name, address string) {
	g.mu.Lock()
	if g.down[address] {
		g.mu.Unlock()
		return
	}
	g.down[address] = true
	g.crashes[name] = append(g.crashes[name], time.Now())
	g.mu.Unlock()
	g.upstreams[address].kill()
	time.AfterFunc(restartTime, func() { g.start(address) })
}

// start starts an upstream at the address under a new ID.
func (g *crashGroup) start(address string) {
	g.mu.Lock()
	g.starts++
	for _, u := range g.cfg.Upstreams {
		if u.Address == address {
			u.Id = fmt.Sprint("r", g.starts)
		}
	}
	g.cfg.Revision++
	g.down[address] = false
	g.mu.Unlock()
	g.applyConfig()
}

// send sends one attempt of a client to a random gateway and returns the status, or
// the kind of error, and the time after which the client may come again.
func (g *crashGroup) send(id, caller, target, crashes string) (string, time.Duration) {
	r := httptest.NewRequest(http.MethodGet, target, nil)
	r.Host = "host.example"
	r.RemoteAddr = caller + ":4000"
	r.Header.Set("Balsam-Request-Id", id)
	if crashes != "" {
		r.Header.Set("Test-Crashes", crashes)
	}
	w := httptest.NewRecorder()
	g.mu.Lock()
	f := g.forwarders[g.rand.IntN(len(g.forwarders))]
	g.mu.Unlock()
	f.ServeHTTP(w, r)
	if kind := w.Header().Get(fault.HeaderKind); kind != "" {
		return kind, 300 * time.Millisecond
	}
	return fmt.Sprint(w.Code), 0
}

// sendCrashing sends a crashing request, and again up to two times after failures.
func (g *crashGroup) sendCrashing(i int, c crashingRequest) {
	g.calls.Go(func() {
		for attempt := range 3 {
			status, wait := g.send(fmt.Sprintf("%s.%d.%d", c.name, i, attempt), c.caller, c.target, c.name)
			if status == "200" {
				return
			}
			time.Sleep(wait)
		}
	})
}

// sendHarmless sends a harmless request, and again up to two times after failures. It
// counts each answer.
func (g *crashGroup) sendHarmless(i int, caller, target string) {
	g.calls.Go(func() {
		for attempt := range 3 {
			start := time.Now()
			status, wait := g.send(fmt.Sprintf("h%d.%d", i, attempt), caller, target, "")
			g.mu.Lock()
			g.harmless[status]++
			if status == "200" {
				g.slowest = max(g.slowest, time.Since(start))
			}
			if status == string(fault.Quarantined) || status == string(fault.Suspect) {
				g.refusals[target] = append(g.refusals[target], time.Now())
			}
			g.mu.Unlock()
			if status == "200" {
				return
			}
			time.Sleep(wait)
		}
	})
}

// run sends crashing requests at the given interval, from next unless it is nil, and
// harmless ones all the while: some of them are sent once, one is sent again and again
// by its caller, and some by many callers.
func (g *crashGroup) run(interval time.Duration, next func(i int) crashingRequest) {
	const step = 50 * time.Millisecond
	crashing := 0
	for i := range int(crashHistory / step) {
		now := time.Duration(i) * step
		for ; next != nil && now >= 2*time.Second+time.Duration(crashing)*interval; crashing++ {
			g.sendCrashing(crashing, next(crashing))
		}
		g.sendHarmless(3*i, fmt.Sprint("10.1.0.", i%40), fmt.Sprint("/safe/once", i))
		if i%4 == 0 {
			g.sendHarmless(3*i+1, "10.1.1.1", "/safe/polled?page=2")
		}
		if i%2 == 0 {
			g.sendHarmless(3*i+2, fmt.Sprint("10.1.2.", i%40), fmt.Sprintf("%s?page=%d", popularPath, i%5))
		}
		time.Sleep(step)
	}
	g.calls.Wait()
}

// popularPath is the path of harmless requests of many callers, with some queries.
const popularPath = "/safe/popular"

// lateAttempts returns the number of attempts of the crashing request that reached an
// upstream later than crashContact after its third crash.
func (g *crashGroup) lateAttempts(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.crashes[name]) < 3 {
		return 0
	}
	late := 0
	for _, at := range g.arrivals[name] {
		if at.Sub(g.crashes[name][2]) > crashContact {
			late++
		}
	}
	return late
}

// refusedFor returns the longest time between the first and the last refusal of
// harmless requests with the same target.
func (g *crashGroup) refusedFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := time.Duration(0)
	for _, times := range g.refusals {
		longest = max(longest, times[len(times)-1].Sub(times[0]))
	}
	return longest
}

const (
	crashingPath   = "/safe/crashing"
	crashingCaller = "10.0.0.1"
	// allowedCrashes is the number of upstreams that one crashing request may end, and
	// allowedRefusal the time for which harmless requests may be refused.
	allowedCrashes = 4
	allowedRefusal = 15 * time.Second
)

// crashHistories is the number of histories of each case. All results are reported if
// there are more than a few.
var crashHistories = flag.Int("crash-histories", 3, "number of histories of each case of crashing requests and of upstreams that end")

// crashCase is a way in which crashing requests arrive.
type crashCase struct {
	name     string
	interval time.Duration
	next     func(i int) crashingRequest
	// several is set if crashes of several requests may not be isolated from each
	// other. TestSeveralCrashingRequestsEndFewUpstreams checks the number of upstreams
	// that each of them ends.
	several bool
}

// check plays the case with some seeds and checks that each crashing request is held
// off, and that harmless requests are not.
func (c crashCase) check(t *testing.T) {
	crashes, late, refused := make(map[int]int), make(map[int]int), make(map[string]int)
	var longest, slowest time.Duration
	for seed := range uint64(*crashHistories) {
		synctest.Test(t, func(t *testing.T) {
			g := newCrashGroup(t, seed)
			g.run(c.interval, c.next)
			for name := range g.arrivals {
				n, lateAttempts := len(g.crashes[name]), g.lateAttempts(name)
				crashes[n]++
				late[lateAttempts]++
				assert.Check(t, lateAttempts <= allowedLateAttempts, "seed %d: %d attempts of %s reached upstreams later than %s after its third crash, want at most %d",
					seed, lateAttempts, name, crashContact, allowedLateAttempts)
				assert.Check(t, c.several || n <= allowedCrashes, "seed %d: %s ended %d upstreams, want at most %d", seed, name, n, allowedCrashes)
			}
			for kind, n := range g.harmless {
				refused[kind] += n
			}
			longest, slowest = max(longest, g.refusedFor()), max(slowest, g.slowest)
			assert.Check(t, g.harmless[string(fault.Quarantined)] == 0, "seed %d: answers to harmless requests: %v", seed, g.harmless)
			assert.Check(t, g.refusedFor() <= allowedRefusal, "seed %d: harmless requests were refused for %s", seed, g.refusedFor())
		})
	}
	t.Logf("upstreams ended by one request: %v, late attempts: %v; answers to harmless requests: %v, refused as suspect for up to %s, served after up to %s", crashes, late, refused, longest, slowest)
}

// oneRequest sends the same crashing request again and again.
func oneRequest(int) crashingRequest { return crashingRequest{"a", crashingCaller, crashingPath} }

// manyCallers sends n crashing requests by turns, each from many callers.
func manyCallers(n int) func(int) crashingRequest {
	return func(i int) crashingRequest {
		name := string(rune('a' + i%n))
		return crashingRequest{name, fmt.Sprintf("10.0.%d.%d", i/250, i%250), crashingPath + "-" + name}
	}
}

// byTurns sends n crashing requests by turns, all from one caller.
func byTurns(n int) func(int) crashingRequest {
	return func(i int) crashingRequest {
		name := string(rune('a' + i%n))
		return crashingRequest{name, crashingCaller, crashingPath + "-" + name}
	}
}

// TestCrashingRequestsAreHeldOff guards against a crashing request that goes on to
// reach upstreams because crashes at the same time clear each other, because it
// was waiting for an upstream when the third one ended, or because many attempts are
// under way before gateways know of the first crash.
func TestCrashingRequestsAreHeldOff(t *testing.T) {
	t.Parallel()
	tests := []crashCase{
		{"one", 400 * time.Millisecond, oneRequest, false},
		{"one, rare", 4 * time.Second, oneRequest, false},
		{"many at once", 50 * time.Millisecond, oneRequest, false},
		{"two by turns", 200 * time.Millisecond, byTurns(2), false},
		{"two by turns, rare", 2 * time.Second, byTurns(2), false},
		{"two by turns, many at once", 25 * time.Millisecond, byTurns(2), true},
		{"four by turns", 100 * time.Millisecond, byTurns(4), true},
		{"four by turns, rare", time.Second, byTurns(4), true},
		{"four requests, caller varies", 50 * time.Millisecond, manyCallers(4), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.check)
	}
}

// TestSeveralCrashingRequestsEndFewUpstreams checks for several crashing requests that
// each ends few upstreams, although their crashes can hardly be told apart.
func TestSeveralCrashingRequestsEndFewUpstreams(t *testing.T) {
	t.Parallel()
	tests := []crashCase{
		{"two by turns, many at once", 25 * time.Millisecond, byTurns(2), false},
		{"four by turns", 100 * time.Millisecond, byTurns(4), false},
		{"four by turns, rare", time.Second, byTurns(4), false},
		{"four by turns, many at once", 12500 * time.Microsecond, byTurns(4), false},
		{"four requests, caller varies", 50 * time.Millisecond, manyCallers(4), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.check)
	}
}

// TestUpstreamsEndTogetherWithoutQuarantine ends upstreams at the same moment or in
// quick succession, for a reason that no request has: no request may be refused
// for it.
func TestUpstreamsEndTogetherWithoutQuarantine(t *testing.T) {
	t.Parallel()
	tests := []upstreamLoss{
		{"half", 5 * time.Second, 6, 0},
		{"all", 5 * time.Second, 13, 0},
		{"all, before the first answer", 250 * time.Millisecond, 13, 0},
		{"one after the other", 5 * time.Second, 13, 100 * time.Millisecond},
		{"one a second", 5 * time.Second, 13, time.Second},
		{"one every 300 ms", 5 * time.Second, 13, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.check)
	}
}

// TestNewRequestIsNotBlamedForUpstreamsThatEndInTurn is the same for requests that
// have never completed before and are in flight at most of the upstreams.
func TestNewRequestIsNotBlamedForUpstreamsThatEndInTurn(t *testing.T) {
	upstreamLoss{"one after the other, before the first answer", 50 * time.Millisecond, 13, 100 * time.Millisecond}.check(t)
}

// upstreamLoss ends count upstreams, the first at the given time and the others at
// the interval.
type upstreamLoss struct {
	name     string
	at       time.Duration
	count    int
	interval time.Duration
}

func (l upstreamLoss) check(t *testing.T) {
	answers, slowest := make(map[string]int), time.Duration(0)
	for seed := range uint64(*crashHistories) {
		synctest.Test(t, func(t *testing.T) {
			g := newCrashGroup(t, seed)
			for i, u := range g.cfg.Upstreams[:l.count] {
				time.AfterFunc(l.at+time.Duration(i)*l.interval, func() { g.crash("none", u.Address) })
			}
			g.run(0, nil)
			for kind, n := range g.harmless {
				answers[kind] += n
			}
			slowest = max(slowest, g.slowest)
			assert.Check(t, g.harmless[string(fault.Quarantined)] == 0, "seed %d: answers: %v", seed, g.harmless)
			assert.Check(t, g.harmless[string(fault.Suspect)] == 0, "seed %d: answers: %v", seed, g.harmless)
		})
	}
	t.Logf("answers to harmless requests: %v, served after up to %s", answers, slowest)
}

// TestVariantsOfCrashingRequestAreHeldOff guards against a crashing request that goes
// on to reach upstreams because each variant of it counts by itself.
func TestVariantsOfCrashingRequestAreHeldOff(t *testing.T) {
	t.Parallel()
	tests := []crashCase{
		{"query varies", 400 * time.Millisecond, func(i int) crashingRequest {
			return crashingRequest{"a", crashingCaller, fmt.Sprint(crashingPath, "?n=", i)}
		}, false},
		{"caller varies", 400 * time.Millisecond, manyCallers(1), false},
		{"query and caller vary", 400 * time.Millisecond, func(i int) crashingRequest {
			return crashingRequest{"a", fmt.Sprint("10.0.0.", i), fmt.Sprint(crashingPath, "?n=", i)}
		}, false},
		{"caller varies, many at once", 50 * time.Millisecond, manyCallers(1), false},
		{"caller varies, rare", 4 * time.Second, manyCallers(1), false},
		{"two requests, caller varies", 100 * time.Millisecond, manyCallers(2), false},
		{"a query of a popular path", 400 * time.Millisecond, func(i int) crashingRequest {
			return crashingRequest{"a", fmt.Sprint("10.0.0.", i), popularPath + "?page=bad"}
		}, false},
		{"two queries of a popular path", 400 * time.Millisecond, func(i int) crashingRequest {
			name := string(rune('a' + i%2))
			return crashingRequest{name, fmt.Sprint("10.0.0.", i), popularPath + "?page=" + name}
		}, false},
		{"a caller of a popular request", 400 * time.Millisecond, func(i int) crashingRequest {
			return crashingRequest{"a", crashingCaller, popularPath + "?page=1"}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, tt.check)
	}
}

// Calls must have fingerprints in common with those of other callers, and with those
// that have another query.
func TestSignaturesOfCalls(t *testing.T) {
	sign := func(caller, target string) quarantine.Signature {
		r := httptest.NewRequest(http.MethodGet, target, nil)
		r.RemoteAddr = caller + ":4000"
		return (&call{r: r, pool: "p"}).sign()
	}
	a := sign("10.0.0.1", "/safe/x?n=1")
	sameQuery, otherQuery, otherPath := sign("10.0.0.2", "/safe/x?n=1"), sign("10.0.0.1", "/safe/x"), sign("10.0.0.1", "/safe/y?n=1")
	assert.Assert(t, a.Exact != sameQuery.Exact && a.Exact != otherQuery.Exact)
	assert.DeepEqual(t, a.General, sameQuery.General)
	assert.Assert(t, a.General[0] != otherQuery.General[0])
	assert.Equal(t, a.General[1], otherQuery.General[1])
	assert.Assert(t, a.General[1] != otherPath.General[1])
}
