package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// startTimeout bounds the time until the system serves first.
	startTimeout = 30 * time.Second
	// recoveryWindow is the time for which calls are counted after recoveryTime.
	recoveryWindow = 5 * time.Second
	// orderTimeout bounds one attempt of the operator, orderLimit all attempts with
	// one order.
	orderTimeout = time.Second
	orderLimit   = 20 * time.Second
	// changePause is the mean time between two changes of the desired state.
	changePause = 1500 * time.Millisecond
	// readPause is the mean time between two reads of it.
	readPause        = 700 * time.Millisecond
	progressInterval = 5 * time.Second
)

// run is one run of the soak.
type run struct {
	settings settings.Soak
	dialect  Dialect
	size     size
	history  *history
	system   *system
	out      io.Writer

	zoneBusy sync.Mutex
	mu       sync.Mutex
	// errs are failures of the soak itself.
	errs []error
	log  *json.Encoder
	// version is the last version that was sent.
	version uint64
	// extraCallers is the number of callers beside the usual ones so far.
	extraCallers int
}

// Result is the outcome of a run.
type Result struct {
	Violations []Violation
	// Dir holds the logs and the journal; empty if they were removed.
	Dir string
}

// Run starts the system, disrupts it, checks the promises and writes a report to out. An
// error means that the soak itself failed; broken promises are in the result. All
// processes have ended when it returns.
func Run(ctx context.Context, s settings.Soak, d Dialect, out io.Writer) (Result, error) {
	dir, err := os.MkdirTemp("", "balsamcourse-soak")
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	result, err := runIn(ctx, dir, s, d, out)
	if err == nil && len(result.Violations) == 0 && !s.KeepLogs {
		return result, errors.Trace(os.RemoveAll(dir))
	}
	result.Dir = dir
	return result, err
}

func runIn(ctx context.Context, dir string, s settings.Soak, d Dialect, out io.Writer) (Result, error) {
	journal, err := os.Create(filepath.Join(dir, "journal.jsonl"))
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	defer func() { _ = journal.Close() }()
	r := &run{settings: s, dialect: d, size: sizes[s.Size], history: newHistory(), out: out, log: json.NewEncoder(journal)}
	r.journal("settings", s)
	programs := []string{s.Program}
	if s.PreviousProgram != "" {
		programs = append(programs, s.PreviousProgram)
	}
	if r.system, err = newSystem(dir, d, r.size, programs, r.history); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.system.close()
	if err := r.begin(ctx); err != nil {
		return Result{}, err
	}
	r.play(ctx)
	if err := ctx.Err(); err != nil {
		return Result{}, errors.Trace(err)
	}
	violations := r.history.check()
	for _, v := range violations {
		r.journal("violation", v)
	}
	r.mu.Lock()
	failed := r.errs
	r.mu.Unlock()
	if len(failed) > 0 {
		return Result{}, errors.Annotatef(failed[0], "%d failures of the soak itself", len(failed))
	}
	return Result{Violations: violations}, r.report(dir, violations)
}

// begin starts the system and waits until it serves.
func (r *run) begin(ctx context.Context) error {
	if err := r.system.start(ctx); err != nil {
		return err
	}
	if !r.change(ctx) {
		return errors.New("the first desired state was not acknowledged")
	}
	c := r.newCaller(0)
	defer c.close()
	limit := time.Now().Add(startTimeout)
	for i := range r.system.gateways {
		for n := 0; ; n++ {
			result, _ := c.callAt(fmt.Sprintf("start-%d-%d", i, n), safeRoute, i)
			if result.status == 200 {
				break
			}
			if time.Now().After(limit) || !wait.For(ctx, 50*time.Millisecond) {
				return errors.Errorf("gateway %d does not serve within %s: status %d %s", i+1, startTimeout, result.status, result.why)
			}
		}
	}
	return nil
}

// play lets callers and the operator work while disruptions strike, and after.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var workers, strikes conc.WaitGroup
	for i := range r.size.callers {
		c := r.newCaller(i + 1)
		workers.Go(func() { c.run(ctx) })
	}
	workers.Go(func() { r.operate(ctx) })
	workers.Go(func() { r.read(ctx) })
	workers.Go(func() { r.history.watchStalls(ctx) })
	workers.Go(func() { wait.Every(ctx, progressInterval, r.progress) })
	start := r.history.now()
	p := plan{
		seed: r.settings.Seed, duration: r.settings.DurationMs.Duration(), allowed: r.settings.Faults, ownLinks: r.dialect.OwnLinks,
		previous: r.settings.PreviousProgram != "", gateways: r.size.gateways, controls: r.size.controls, upstreams: r.size.upstreams,
		zones: zones, gap: r.size.gap,
	}
	for _, d := range p.draw() {
		if !wait.For(ctx, start+d.At-r.history.now()) {
			break
		}
		strikes.Go(func() { r.strike(ctx, d) })
	}
	strikes.Wait()
	r.history.finish()
	wait.For(ctx, recoveryTime+recoveryWindow)
	cancel()
	workers.Wait()
}

func (r *run) newCaller(index int) *caller {
	return &caller{
		index: index, rng: rand.New(rand.NewPCG(r.settings.Seed, uint64(index))), addresses: r.system.callerAddresses(),
		headers: r.dialect.Headers, history: r.history, conns: make(map[int]*callerConn), pause: callPause,
	}
}

// newExtraCaller returns a caller beside the usual ones, which does not pause.
func (r *run) newExtraCaller() *caller {
	r.mu.Lock()
	r.extraCallers++
	index := r.size.callers + r.extraCallers
	r.mu.Unlock()
	c := r.newCaller(index)
	c.pause = 0
	return c
}

// operate changes the desired state again and again; now and then it sends a change again
// or an older one, or two at once.
func (r *run) operate(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.settings.Seed, 1<<32))
	for wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(changePause))) {
		if rng.IntN(4) == 0 {
			var race conc.WaitGroup
			race.Go(func() { r.change(ctx) })
			race.Go(func() { r.change(ctx) })
			race.Wait()
			continue
		}
		r.change(ctx)
	}
}

// change applies the next desired state and reports whether it was acknowledged. It is
// then sent once more, which must be acknowledged as well and change nothing.
func (r *run) change(ctx context.Context) bool {
	r.mu.Lock()
	r.version += 1 + uint64(rand.IntN(3))
	version := r.version
	r.mu.Unlock()
	pool := []string{poolA, poolB}[rand.IntN(2)]
	state := desiredState(version, pool)
	o := order{version: version, pool: pool, source: r.dialect.Source(state), sent: r.history.now()}
	acked := r.order(ctx, func(ctx context.Context, op Operator) error { return op.ApplyState(ctx, state) })
	if acked {
		o.acked = r.history.now()
	}
	r.history.addOrder(o)
	r.journal("change", map[string]any{"version": version, "pool": pool, "sent": o.sent, "acked": o.acked})
	return acked
}

// order sends an order to one control VM after the other until it is acknowledged.
func (r *run) order(ctx context.Context, send func(ctx context.Context, o Operator) error) bool {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	for {
		attempt, done := context.WithTimeout(ctx, orderTimeout)
		err := send(attempt, r.system.anyOperator())
		done()
		if err == nil {
			return true
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			return false
		}
	}
}

// read reads the desired state in force again and again.
func (r *run) read(ctx context.Context) {
	for wait.For(ctx, time.Duration(rand.ExpFloat64()*float64(readPause))) {
		sent := r.history.now()
		attempt, cancel := context.WithTimeout(ctx, orderTimeout)
		source, err := r.system.anyOperator().ReadState(attempt)
		cancel()
		if err != nil {
			continue
		}
		r.history.addRead(readBack{sent: sent, at: r.history.now(), version: versionOf(source), source: source})
	}
}

// desiredState returns the desired state with the version, in which movingRoute leads to
// the pool.
func desiredState(version uint64, pool string) *catalogpb.DesiredState {
	s := &catalogpb.DesiredState{Version: version}
	for _, name := range []string{poolA, poolB} {
		s.Pools = append(s.Pools, &catalogpb.Pool{Name: name, HealthPath: healthPath, MaxConnections: 2000, ColdMs: uint32(coldTime.Milliseconds()), ColdPerS: coldPerSecond})
	}
	for _, r := range []route{safeRoute, payRoute, uploadRoute, movingRoute, crashRoute} {
		leads, kind, attempts := r.pools()[0], catalogpb.RouteKind_ROUTE_KIND_UNSAFE, uint32(1)
		switch {
		case r == movingRoute:
			leads, kind, attempts = pool, catalogpb.RouteKind_ROUTE_KIND_SAFE, 3
		case r == uploadRoute:
			kind = catalogpb.RouteKind_ROUTE_KIND_UPLOAD
		case r.safe():
			kind, attempts = catalogpb.RouteKind_ROUTE_KIND_SAFE, 3
		}
		s.Routes = append(s.Routes, &catalogpb.Route{
			Name: string(r), Host: host, PathPrefix: r.prefix(), Kind: kind, TimeoutMs: uint32(routeTimeout.Milliseconds()),
			TargetLatencyMs: uint32(targetLatency.Milliseconds()), MaxAttempts: attempts, Shares: []*catalogpb.RouteShare{{Pool: leads, Weight: 1}},
		})
	}
	s.Source = fmt.Appendf(nil, `{"version":%d,"pool":%q}`, version, pool)
	return s
}

// versionOf returns the version in the text of a desired state.
func versionOf(source string) uint64 {
	var s struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal([]byte(source), &s); err != nil {
		return 0
	}
	return s.Version
}

// fail records a failure of the soak itself.
func (r *run) fail(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

// journal adds a line to the journal.
func (r *run) journal(what string, value any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A journal that cannot be written does not change the verdict.
	_ = r.log.Encode(map[string]any{"at": r.history.now(), "what": what, "value": value})
}
