package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/configview"
)

// loadPattern is a load on a group of gateways, in virtual time.
type loadPattern struct {
	gateways, upstreams int
	// perSecond is the rate of new calls of all callers together, for duration.
	perSecond float64
	duration  time.Duration
	// latePerSecond is the rate of calls that are late before they arrive: their
	// callers have used up half of their time. Their outcomes do not count.
	latePerSecond float64
}

// The work, the upstreams and the callers of the replays. Upstreams slow down by
// replayKnee when nearly full, and by slowPhaseTimes in some phases of their VM.
const (
	replaySlots    = 2
	replayQueue    = 4
	replayWork     = 220 * time.Millisecond
	replaySpread   = 0.3
	replayTarget   = 600 * time.Millisecond
	replayTimeout  = 6 * time.Second
	replayPatience = 0.15
	replayAttempts = 3
	replayKnee     = 1.7
	slowPhase      = 300 * time.Millisecond
	slowPhaseShare = 0.25
	slowPhaseTimes = 4
)

// loadReplay replays a load pattern. Upstreams have replaySlots slots and a short
// queue, beyond which they refuse requests without running them.
type loadReplay struct {
	*gatewayGroup
	pattern loadPattern

	mu   sync.Mutex
	rand *rand.Rand
	// inTime, late and failed count calls, shed the requests that upstreams refused.
	inTime, late, failed, shed int
	calls                      sync.WaitGroup
}

type busyUpstream struct {
	id               string
	slots            chan struct{}
	running, waiting int
	// slowShift shifts the slow phases of the VM against those of others.
	slowShift float64
}

func newLoadReplay(t *testing.T, seed uint64, p loadPattern) *loadReplay {
	t.Helper()
	var ids []string
	for i := range p.upstreams {
		ids = append(ids, fmt.Sprint("u", i))
	}
	l := &loadReplay{
		gatewayGroup: newGatewayGroup(t, p.gateways, ids...), pattern: p,
		rand: rand.New(rand.NewPCG(seed, 0)),
	}
	for _, r := range l.cfg.Routes {
		r.TimeoutMs = uint32(2 * replayTimeout.Milliseconds())
		r.TargetLatencyMs = uint32(replayTarget.Milliseconds())
	}
	l.cfg.StateVersion++
	for _, u := range l.cfg.Upstreams {
		u.Slots = replaySlots
		b := &busyUpstream{id: u.Id, slots: make(chan struct{}, replaySlots), slowShift: l.rand.Float64()}
		l.upstreams[u.Address].setRespond(func(conn net.Conn, r *http.Request) answered { return l.respond(b, conn, r) })
	}
	for _, f := range l.forwarders {
		f.opts.Random = l.random
		f.state.applyConfig(configview.New(l.cfg))
	}
	return l
}

func (l *loadReplay) random() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Float64()
}

// slowPercent returns how long work takes on the VM now, in percent: in a quarter of
// the phases four times as long.
func (l *loadReplay) slowPercent(b *busyUpstream) int {
	phase := float64(time.Now().UnixNano())/float64(slowPhase) + 100*b.slowShift
	if _, part := math.Modf(math.Floor(phase) * math.Phi); part < slowPhaseShare {
		return 100 * slowPhaseTimes
	}
	return 100
}

// load returns the value of the load header. l.mu must be held.
func (l *loadReplay) load(b *busyUpstream) string {
	return fmt.Sprintf("%d %d %d %d", b.running, b.waiting, replaySlots, l.slowPercent(b))
}

func (l *loadReplay) respond(b *busyUpstream, conn net.Conn, r *http.Request) answered {
	id := r.Header.Get("Balsam-Request-Id")
	if r.URL.Path == "/health" {
		time.Sleep(time.Millisecond)
		l.mu.Lock()
		load := l.load(b)
		l.mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: %s\r\nContent-Length: 0\r\n\r\n", b.id, load)
		return keptOpen
	}
	l.mu.Lock()
	if b.running == replaySlots && b.waiting == replayQueue {
		l.shed++
		l.mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nBalsam-Upstream: %s\r\nBalsam-Not-Run: 1\r\nBalsam-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id, id)
		return keptOpen
	}
	b.waiting++
	l.mu.Unlock()
	b.slots <- struct{}{}
	l.mu.Lock()
	b.waiting--
	b.running++
	work := float64(replayWork) * math.Exp(replaySpread*l.rand.NormFloat64()) * float64(l.slowPercent(b)) / 100
	if b.running > 1 {
		work *= replayKnee
	}
	l.mu.Unlock()
	time.Sleep(time.Duration(work))
	<-b.slots
	l.mu.Lock()
	load := l.load(b)
	b.running--
	l.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: %s\r\nBalsam-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", b.id, load, id, servedByHeader)
	return keptOpen
}

// run sends the calls of the pattern and waits for their outcomes.
func (l *loadReplay) run() {
	if l.pattern.latePerSecond > 0 {
		l.calls.Go(func() { l.arrive(l.pattern.latePerSecond, l.callLate) })
	}
	l.arrive(l.pattern.perSecond, l.callAsCaller)
	l.calls.Wait()
	// Upstreams end the requests that callers have given up.
	time.Sleep(10 * replayTimeout)
}

// arrive starts calls at the given rate for the duration of the pattern.
func (l *loadReplay) arrive(perSecond float64, call func(id string)) {
	end := time.Now().Add(l.pattern.duration)
	for i := 0; time.Now().Before(end); i++ {
		l.calls.Go(func() { call(fmt.Sprint(perSecond, ".", i)) })
		pause := -math.Log(1-l.random()) / perSecond
		time.Sleep(time.Duration(pause * float64(time.Second)))
	}
}

// send sends one attempt of a caller, which waits for the given time, to a gateway.
func (l *loadReplay) send(id string, left time.Duration) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
	r.Host = "host.example"
	r.Header.Set("Balsam-Request-Id", id)
	r.Header.Set("Balsam-Timeout-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	w := httptest.NewRecorder()
	l.forwarders[int(l.random()*float64(len(l.forwarders)))].ServeHTTP(w, r)
	return w
}

// callLate sends a call that is late before it arrives.
func (l *loadReplay) callLate(id string) { l.send("late."+id, replayTimeout/2) }

// callAsCaller sends a call, and again after refusals for as long as the caller waits:
// callers wait for different times, and tell how much of it is left.
func (l *loadReplay) callAsCaller(id string) {
	start := time.Now()
	patience := time.Duration((1 + replayPatience*(2*l.random()-1)) * float64(replayTimeout))
	for attempt := range replayAttempts {
		left := patience - time.Since(start)
		w := l.send(fmt.Sprint(id, ".", attempt), left)
		if w.Code == http.StatusOK {
			l.count(time.Since(start) <= replayTarget)
			return
		}
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if wait := time.Duration(seconds * float64(time.Second)); err == nil && wait <= left/3 {
			time.Sleep(wait)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
}

func (l *loadReplay) count(inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if inTime {
		l.inTime++
	} else {
		l.late++
	}
}

// replaySeeds is the number of seeds with which most patterns are replayed.
const replaySeeds = 8

// shareInTime replays the pattern with several seeds and returns the share of all
// calls that were in time.
func shareInTime(t *testing.T, p loadPattern, seeds uint64) float64 {
	share := 0.0
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			l := newLoadReplay(t, seed, p)
			l.run()
			t.Logf("seed %d: %d in time, %d late, %d failed, %d shed", seed, l.inTime, l.late, l.failed, l.shed)
			share += float64(l.inTime) / float64(l.inTime+l.late+l.failed) / float64(seeds)
		})
	}
	return share
}

// bearable returns the rate of calls that upstreams serve in time with all slots busy
// and nothing started in slow phases.
func bearable(upstreams int) float64 {
	work := replayWork.Seconds() * math.Exp(replaySpread*replaySpread/2) * replayKnee
	return float64(upstreams*replaySlots) * (1 - slowPhaseShare) / work
}

// TestOverloadServesThoseInTime replays bursts of half more than the upstreams bear, and
// of two and a half times as much. Calls that are late anyway, or come back after a
// refusal, must not take the room of those that can still be in time, which wait at
// other gateways: three quarters of what the upstreams bear is served in time.
func TestOverloadServesThoseInTime(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{1.5, 2.5} {
		p := loadPattern{gateways: 20, upstreams: 40, duration: 4 * time.Second}
		p.perSecond = factor * bearable(p.upstreams)
		share := shareInTime(t, p, replaySeeds)
		assert.Check(t, share >= 0.75/factor, "%g times as much as upstreams bear: %.3f in time", factor, share)
	}
}

// TestOrdinaryLoadFindsRoomToSpare replays half of the load that the upstreams bear.
// Nearly full and slow upstreams are chosen only if no others are found: 99 of 100
// calls are in time.
func TestOrdinaryLoadFindsRoomToSpare(t *testing.T) {
	t.Parallel()
	p := loadPattern{gateways: 20, upstreams: 40, duration: 10 * time.Second}
	p.perSecond = 0.5 * bearable(p.upstreams)
	share := shareInTime(t, p, replaySeeds)
	assert.Assert(t, share >= 0.99, "%.4f in time", share)
}

// TestLateCallsTakeRoomToSpareOnly replays a load that the upstreams bear, beside as
// many calls that are late before they arrive, as after a zone was dark, and beside twice
// as many. Those take only what the others leave. They run on nearly all upstreams then,
// so that most of the others run beside one of them, on upstreams slowed down by
// replayKnee, and the slowest of these miss their target: without replayKnee, 1 in 200
// do. The share is a mean over so many seeds that its deviation is below a quarter of its
// distance to the bound: the search for upstreams is not seeded.
func TestLateCallsTakeRoomToSpareOnly(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		late, want float64
		seeds      uint64
	}{{0.5, 0.93, replaySeeds}, {1, 0.9, 4 * replaySeeds}} {
		p := loadPattern{gateways: 20, upstreams: 40, duration: 4 * time.Second}
		p.perSecond = 0.5 * bearable(p.upstreams)
		p.latePerSecond = c.late * bearable(p.upstreams)
		share := shareInTime(t, p, c.seeds)
		t.Logf("late calls at %g of what upstreams bear: %.4f in time", c.late, share)
		assert.Check(t, share >= c.want, "late calls at %g of what upstreams bear: %.4f in time", c.late, share)
	}
}

func TestChooseReturn(t *testing.T) {
	for _, tc := range []struct{ predicted, spare, left, earliest, latest time.Duration }{
		// There is time to wait elsewhere, spread over all of it.
		{0, 200 * time.Millisecond, 6 * time.Second, 0, 200 * time.Millisecond},
		{50 * time.Millisecond, 200 * time.Millisecond, 6 * time.Second, 50 * time.Millisecond, 200 * time.Millisecond},
		// The target is missed: after the burst.
		{0, 0, 6 * time.Second, 900 * time.Millisecond, 1800 * time.Millisecond},
		{time.Second, 200 * time.Millisecond, 6 * time.Second, 1 * time.Second, 1800 * time.Millisecond},
	} {
		for random := 0.0; random < 1; random += 0.01 {
			pause := chooseReturn(tc.predicted, tc.spare, tc.left, random)
			assert.Assert(t, pause >= tc.earliest && pause <= tc.latest, "%+v: %s", tc, pause)
		}
	}
}
