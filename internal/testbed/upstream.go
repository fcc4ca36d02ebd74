// Package testbed holds stand-ins for tests, experiments and the development
// server.
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
)

// Service-time factors of the stand-in.
const (
	coldFactor     = 3
	readHeaderTime = 5 * time.Second
	probePath      = "/healthz"
)

// UpstreamOptions describes a stand-in upstream.
type UpstreamOptions struct {
	Service string
	Zone    string
	ID      string
	Listen  string
	Slots   int
	// ColdSlots is what it bears in cold start; one more request in flight
	// counts as a breach.
	ColdSlots int
	// WarmAfter is the number of requests that end a cold start.
	WarmAfter int
	// ServiceTime draws the time that one request takes.
	ServiceTime func(r *rand.Rand) time.Duration
	// AnnounceAddresses are the addresses to announce to.
	AnnounceAddresses []string
	// AnnounceInterval is the announcement interval.
	AnnounceInterval time.Duration
	// LoadReportDelay delays the reported load.
	LoadReportDelay time.Duration
	// QueueLimit is the number of requests that wait for a slot before more are
	// shed; zero means as many as there are slots.
	QueueLimit int
	// ProbeTime is the time that a request of the probe path takes.
	ProbeTime time.Duration
	// StartWarm skips the cold start.
	StartWarm bool
	Seed      uint64
	// Handler, when set, answers a request in place of the default answer.
	Handler http.HandlerFunc
	// Key is sent with announcements when it is not empty.
	Key string
}

// Upstream is an HTTP server with a few slots that starts cold, sheds what it
// cannot queue, drains, and can be told to misbehave.
type Upstream struct {
	opts     UpstreamOptions
	listener net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	done     sync.WaitGroup

	// Counters for oracles.
	Runs              atomic.Int64
	ColdLimitBreaches atomic.Int64
	Overloads         atomic.Int64
	PeakColdInFlight  atomic.Int64
	BusyMicros        atomic.Int64
	Probes            atomic.Int64

	inFlight    atomic.Int64
	completed   atomic.Int64
	draining    atomic.Bool
	slowFactor  atomic.Int64
	failFast    atomic.Bool
	falseLoad   atomic.Bool
	reported    atomic.Int64
	incarnation atomic.Uint64
	stallUntil  atomic.Int64

	slots chan struct{}
	mu    sync.Mutex
	rng   *rand.Rand
	keys  map[string][]time.Time
}

// StartUpstream starts a stand-in that announces itself until Stop or Kill.
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
		keys:     make(map[string][]time.Time),
	}
	u.slowFactor.Store(1)
	u.incarnation.Store(uint64(time.Now().UnixNano()))
	if opts.StartWarm {
		u.completed.Store(int64(opts.WarmAfter))
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: readHeaderTime}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.done.Add(2)
	go u.serve()
	go u.announceLoop(ctx)
	return u, nil
}

func (u *Upstream) serve() {
	defer u.done.Done()
	_ = u.server.Serve(u.listener)
}

// Address returns the host and port at which the stand-in serves.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// ID returns the id of the stand-in.
func (u *Upstream) ID() string { return u.opts.ID }

// Cold reports whether the stand-in is in cold start.
func (u *Upstream) Cold() bool { return u.completed.Load() < int64(u.opts.WarmAfter) }

// ResetWarmup puts the stand-in into cold start without a sign to anyone.
func (u *Upstream) ResetWarmup() { u.completed.Store(0) }

// SetServiceTimeFactor multiplies service times; 1 is normal.
func (u *Upstream) SetServiceTimeFactor(factor int64) { u.slowFactor.Store(factor) }

// SetFailFast makes the stand-in answer 500 at once.
func (u *Upstream) SetFailFast(on bool) { u.failFast.Store(on) }

// SetReportZeroLoad makes the stand-in report no load whatever it does.
func (u *Upstream) SetReportZeroLoad(on bool) { u.falseLoad.Store(on) }

// Stall stops all work for d, as an overloaded host does.
func (u *Upstream) Stall(d time.Duration) {
	u.stallUntil.Store(time.Now().Add(d).UnixNano())
}

// Drain announces that the stand-in takes no new work.
func (u *Upstream) Drain() { u.draining.Store(true) }

// Restart brings the stand-in back as a new process: cold, with a higher
// incarnation.
func (u *Upstream) Restart() {
	u.completed.Store(0)
	u.incarnation.Store(uint64(time.Now().UnixNano()))
	u.draining.Store(false)
}

// InFlight returns the requests in flight.
func (u *Upstream) InFlight() int64 { return u.inFlight.Load() }

// RunCount returns how often a request with the key ran.
func (u *Upstream) RunCount(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.keys[key])
}

// RunTimes returns when the runs of requests with the key began.
func (u *Upstream) RunTimes(key string) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]time.Time(nil), u.keys[key]...)
}

// RunCounts returns how often each key ran.
func (u *Upstream) RunCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]int, len(u.keys))
	for k, runs := range u.keys {
		out[k] = len(runs)
	}
	return out
}

// Kill closes all connections at once.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.server.Close()
	u.done.Wait()
}

// ServeHTTP runs one request in a slot.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == probePath {
		u.Probes.Add(1)
	}
	n := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	u.watchCold(n)
	if u.failFast.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if n > int64(u.opts.Slots) {
		u.Overloads.Add(1)
	}
	if n > int64(u.opts.Slots+u.queue()) {
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

func (u *Upstream) queue() int {
	if u.opts.QueueLimit == 0 {
		return u.opts.Slots
	}
	return u.opts.QueueLimit
}

func (u *Upstream) watchCold(n int64) {
	if !u.Cold() {
		return
	}
	for old := u.PeakColdInFlight.Load(); n > old && !u.PeakColdInFlight.CompareAndSwap(old, n); old = u.PeakColdInFlight.Load() {
	}
	if n > int64(u.opts.ColdSlots) {
		u.ColdLimitBreaches.Add(1)
	}
}

// shed refuses a request that has not run.
func (u *Upstream) shed(w http.ResponseWriter) {
	w.Header().Set("Balsam-Run", "not run")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request) {
	u.Runs.Add(1)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		u.count(key)
	}
	begin := time.Now()
	finished := u.work(r)
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

// work takes the service time; it reports false when the request is cancelled.
func (u *Upstream) work(r *http.Request) bool {
	t := time.NewTimer(u.draw(r) + u.stalled())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *Upstream) draw(r *http.Request) time.Duration {
	if r.URL.Path == probePath && u.opts.ProbeTime > 0 {
		return u.opts.ProbeTime * time.Duration(u.slowFactor.Load())
	}
	if u.opts.ServiceTime == nil {
		return 0
	}
	u.mu.Lock()
	d := u.opts.ServiceTime(u.rng)
	u.mu.Unlock()
	if u.Cold() {
		d *= coldFactor
	}
	return d * time.Duration(u.slowFactor.Load())
}

func (u *Upstream) stalled() time.Duration {
	return max(0, time.Until(time.Unix(0, u.stallUntil.Load())))
}

func (u *Upstream) count(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keys[key] = append(u.keys[key], time.Now())
}
