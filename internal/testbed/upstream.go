// Package testbed provides simulated upstreams and free loopback addresses for
// tests, experiments and the development server. Its tests run the built
// program as separate control and entry processes and inject faults.
package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/notice"
)

const (
	// coldServiceTimeFactor multiplies the service time during a cold start.
	coldServiceTimeFactor = 3
	readHeaderTimeout     = 5 * time.Second
	probePath             = "/healthz"
)

// UpstreamOptions configures a simulated upstream.
type UpstreamOptions struct {
	Service string
	Zone    string
	ID      string
	// Listen is the address to serve on; the default is a free loopback port.
	Listen string
	// Slots is the number of requests that run at the same time.
	Slots int
	// ColdSlots is the number of requests in flight that the upstream tolerates
	// during a cold start. Each request above it counts in ColdLimitBreaches.
	ColdSlots int
	// WarmAfter is the number of completed requests that end a cold start.
	WarmAfter int
	// ServiceTime returns a random service time for one request; nil means 0.
	ServiceTime func(r *rand.Rand) time.Duration
	// AnnounceAddresses are the addresses to announce to.
	AnnounceAddresses []string
	// AnnounceInterval is the time between announcements; zero means 200 ms.
	AnnounceInterval time.Duration
	// LoadReportDelay is the age of the load that announcements carry.
	LoadReportDelay time.Duration
	// QueueLimit is the number of requests that may wait for a slot; more are
	// shed. Zero means as many as there are slots.
	QueueLimit int
	// ProbeTime is the service time of a request for the probe path; zero means
	// that probes take ServiceTime.
	ProbeTime time.Duration
	// StartWarm skips the cold start.
	StartWarm bool
	// Seed seeds the random service times.
	Seed uint64
	// Handler, if not nil, writes the response instead of the default one.
	Handler http.HandlerFunc
	// Key is the bearer key of announcements; empty means none is sent.
	Key string
}

// Upstream is a simulated upstream: an HTTP server with a limited number of
// slots and a bounded queue that starts cold, sheds excess requests, can drain,
// and injects faults on request.
type Upstream struct {
	opts     UpstreamOptions
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	// Counters that tests and experiments read. Runs counts the requests that
	// got a slot, Overloads those that found all slots in use, and
	// ColdLimitBreaches those above ColdSlots during a cold start. BusyMicros is
	// the sum of service times in microseconds.
	Runs              atomic.Int64
	ColdLimitBreaches atomic.Int64
	Overloads         atomic.Int64
	PeakColdInFlight  atomic.Int64
	BusyMicros        atomic.Int64
	// Unwanted counts requests that started after the upstream had said in an
	// answer that it is leaving, or had turned a request away for some time that
	// was not over.
	Unwanted atomic.Int64
	Probes   atomic.Int64

	inFlight          atomic.Int64
	completed         atomic.Int64
	draining          atomic.Bool
	serviceTimeFactor atomic.Int64
	failFast          atomic.Bool
	reportZeroLoad    atomic.Bool
	reportedLoad      atomic.Int64
	incarnation       atomic.Uint64
	stallUntil        atomic.Int64
	leaving           atomic.Bool
	// pauseUntil is the end of the pause that the upstream asks for, in Unix
	// nanoseconds.
	pauseUntil atomic.Int64
	// saidLeaving and saidPauseUntil are what answers have said so far.
	saidLeaving    atomic.Bool
	saidPauseUntil atomic.Int64

	slots    chan struct{}
	mu       sync.Mutex
	rng      *rand.Rand
	runTimes map[string][]time.Time
}

// StartUpstream starts a simulated upstream that announces itself until Kill.
// It fails when it cannot listen on opts.Listen.
func StartUpstream(opts UpstreamOptions) (*Upstream, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Trace(err)
	}
	u := &Upstream{
		opts:     opts,
		listener: l,
		slots:    make(chan struct{}, opts.Slots),
		rng:      rand.New(rand.NewPCG(opts.Seed, uint64(len(opts.ID)))),
		runTimes: make(map[string][]time.Time),
	}
	u.serviceTimeFactor.Store(1)
	u.incarnation.Store(uint64(time.Now().UnixNano()))
	if opts.StartWarm {
		u.completed.Store(int64(opts.WarmAfter))
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: readHeaderTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.wg.Add(2)
	go u.serve()
	go u.announceLoop(ctx)
	return u, nil
}

func (u *Upstream) serve() {
	defer u.wg.Done()
	_ = u.server.Serve(u.listener)
}

// Address returns the host and port at which the upstream serves.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// ID returns the id that the upstream announces.
func (u *Upstream) ID() string { return u.opts.ID }

// Cold reports whether the upstream is in a cold start.
func (u *Upstream) Cold() bool { return u.completed.Load() < int64(u.opts.WarmAfter) }

// ResetWarmup starts a cold start under the same incarnation, so that no
// restart is announced.
func (u *Upstream) ResetWarmup() { u.completed.Store(0) }

// SetServiceTimeFactor multiplies service times by factor; 1 is normal.
func (u *Upstream) SetServiceTimeFactor(factor int64) { u.serviceTimeFactor.Store(factor) }

// SetFailFast makes the upstream answer every request with status 500 at once.
func (u *Upstream) SetFailFast(on bool) { u.failFast.Store(on) }

// SetReportZeroLoad makes the upstream announce a load of 0 whatever its
// actual load.
func (u *Upstream) SetReportZeroLoad(on bool) { u.reportZeroLoad.Store(on) }

// Stall delays requests that start within d until d has passed, as a paused
// host does.
func (u *Upstream) Stall(d time.Duration) {
	u.stallUntil.Store(time.Now().Add(d).UnixNano())
}

// Leave makes the upstream say in all its answers that it is leaving.
// Announcements do not say so.
func (u *Upstream) Leave() { u.leaving.Store(true) }

// Pause makes the upstream turn all requests away until d has passed, and say for
// how long.
func (u *Upstream) Pause(d time.Duration) { u.pauseUntil.Store(time.Now().Add(d).UnixNano()) }

// Drain makes the upstream announce that it accepts no new requests.
func (u *Upstream) Drain() { u.draining.Store(true) }

// Restart makes the upstream behave as a newly started process: cold, not
// draining, and with a higher incarnation.
func (u *Upstream) Restart() {
	u.completed.Store(0)
	u.incarnation.Store(uint64(time.Now().UnixNano()))
	u.draining.Store(false)
	u.leaving.Store(false)
	u.pauseUntil.Store(0)
	u.saidLeaving.Store(false)
	u.saidPauseUntil.Store(0)
}

// InFlight returns the number of requests in flight, queued ones included.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// RunCount returns the number of runs of requests with the idempotency key.
func (u *Upstream) RunCount(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.runTimes[key])
}

// RunTimes returns the start times of the runs of requests with the
// idempotency key.
func (u *Upstream) RunTimes(key string) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]time.Time(nil), u.runTimes[key]...)
}

// RunCounts returns the number of runs by idempotency key.
func (u *Upstream) RunCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.runTimes))
	for k, runs := range u.runTimes {
		out[k] = len(runs)
	}
	return out
}

// Kill stops announcements and closes the listener and all connections without
// waiting for requests in flight.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.server.Close()
	u.wg.Wait()
}

// ServeHTTP runs one request in a slot, or sheds it when the queue is full.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Balsam-Request-Id"); id != "" {
		w.Header().Set("Balsam-Request-Id", id)
	}
	if r.URL.Path == probePath {
		u.Probes.Add(1)
	}
	n := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	u.checkColdLimit(n)
	if u.saidLeaving.Load() || time.Now().UnixNano() < u.saidPauseUntil.Load() {
		u.Unwanted.Add(1)
	}
	if u.leaving.Load() {
		w.Header().Set(notice.HeaderLeaving, "1")
		defer u.saidLeaving.Store(true)
	}
	if left := time.Until(time.Unix(0, u.pauseUntil.Load())); left > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
		defer u.saidPauseUntil.Store(u.pauseUntil.Load())
		u.shed(w)
		return
	}
	if u.failFast.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if n > int64(u.opts.Slots) {
		u.Overloads.Add(1)
	}
	if n > int64(u.opts.Slots+u.queueLimit()) {
		u.shed(w)
		return
	}
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	u.run(w, r)
}

func (u *Upstream) queueLimit() int {
	if u.opts.QueueLimit == 0 {
		return u.opts.Slots
	}
	return u.opts.QueueLimit
}

// checkColdLimit records the number of requests in flight, n, during a cold
// start.
func (u *Upstream) checkColdLimit(n int64) {
	if !u.Cold() {
		return
	}
	for old := u.PeakColdInFlight.Load(); n > old && !u.PeakColdInFlight.CompareAndSwap(old, n); old = u.PeakColdInFlight.Load() {
	}
	if n > int64(u.opts.ColdSlots) {
		u.ColdLimitBreaches.Add(1)
	}
}

// shed rejects a request and reports that it has not run.
func (u *Upstream) shed(w http.ResponseWriter) {
	w.Header().Set("Balsam-Run", "not run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	u.Runs.Add(1)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		u.recordRun(key)
	}
	begin := time.Now()
	finished := u.waitServiceTime(r)
	u.BusyMicros.Add(time.Since(begin).Microseconds())
	if !finished {
		return
	}
	u.completed.Add(1)
	if u.opts.Handler != nil {
		u.opts.Handler(w, r)
		return
	}
	w.Header().Set("Upstream", u.opts.ID)
	body := fmt.Sprintf("%s %s answered by %s\n", r.Method, r.URL.Path, u.opts.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}

// waitServiceTime waits for the service time of the request. It reports false
// when the request is cancelled.
func (u *Upstream) waitServiceTime(r *http.Request) bool {
	t := time.NewTimer(u.serviceTime(r) + u.remainingStall())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *Upstream) serviceTime(r *http.Request) time.Duration {
	if r.URL.Path == probePath && u.opts.ProbeTime > 0 {
		return u.opts.ProbeTime * time.Duration(u.serviceTimeFactor.Load())
	}
	if u.opts.ServiceTime == nil {
		return 0
	}
	u.mu.Lock()
	d := u.opts.ServiceTime(u.rng)
	u.mu.Unlock()
	if u.Cold() {
		d *= coldServiceTimeFactor
	}
	return d * time.Duration(u.serviceTimeFactor.Load())
}

func (u *Upstream) remainingStall() time.Duration {
	return max(0, time.Until(time.Unix(0, u.stallUntil.Load())))
}

func (u *Upstream) recordRun(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runTimes[key] = append(u.runTimes[key], time.Now())
}
