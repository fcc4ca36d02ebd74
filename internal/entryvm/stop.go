package entryvm

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// Time limits of the phases of a stop.
const (
	// leavingTimeout bounds the wait until all entry VMs have accepted a
	// configuration in which this one is leaving.
	leavingTimeout = 8 * time.Second
	// handoverTimeout bounds the hand-over of cells and claims, and the report of
	// the outcomes of the last calls.
	handoverTimeout = 5 * time.Second
	// finalAnswerTime bounds the wait until calls that have not ended by then are answered
	// that they did not run, or that their outcome is unknown. A process that has used up
	// its CPU share is paused for up to 100 ms.
	finalAnswerTime = 500 * time.Millisecond
	// shutdownTimeout bounds the closing of listeners and traces.
	shutdownTimeout = 2 * time.Second
)

// listeners holds the servers of an entry VM; those not open are nil.
type listeners struct {
	callers, announce, cluster, metrics *httpnet.Server
}

// all returns the open servers.
func (l *listeners) all() []*httpnet.Server {
	var open []*httpnet.Server
	for _, s := range []*httpnet.Server{l.callers, l.announce, l.cluster, l.metrics} {
		if s != nil {
			open = append(open, s)
		}
	}
	return open
}

// stopGracefully removes this entry VM from look-up responses, serves calls until
// cached look-up responses have expired, hands over its cells and claims, and then
// refuses new calls and finishes those in flight, for at most the DrainMs of the
// settings. After that they are answered without an upstream. It returns early if ctx
// ends.
func (d *Daemon) stopGracefully(ctx context.Context) {
	d.log.Log(event.Stopping).Send()
	d.applyLifecycleEvent(eventStop)
	d.awaitLeavingAccepted(ctx)
	if !wait.For(ctx, d.settings.LookupTTLMs.Duration()) {
		return
	}
	d.handOver(ctx)
	d.applyLifecycleEvent(eventAnswersExpired)
	limit := time.Now().Add(d.settings.DrainMs.Duration())
	for !d.callers.drained() && time.Now().Before(limit) {
		if !wait.For(ctx, drainPollInterval) {
			return
		}
	}
	d.callers.endCalls()
	answered, cancelAnswers := context.WithTimeout(ctx, finalAnswerTime)
	defer cancelAnswers()
	for !d.callers.drained() && wait.For(answered, drainPollInterval) {
	}
	// The entry VMs that store the claims must receive the outcomes of the last
	// calls.
	limited, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_ = d.claims.Drain(limited)
	d.applyLifecycleEvent(eventIdle)
}

// awaitLeavingAccepted waits until all entry VMs have accepted a configuration in
// which this one is leaving. From then on no look-up response contains it, and the
// TTL of the last cached responses starts. It waits for at most leavingTimeout,
// because no such configuration arrives while the control group is unavailable.
func (d *Daemon) awaitLeavingAccepted(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	revision := uint64(0)
	for revision == 0 || d.config.AcceptedEverywhere() < revision {
		if revision == 0 {
			revision = d.leavingRevision()
		}
		if !wait.For(limited, drainPollInterval) {
			return
		}
	}
}

// leavingRevision returns the revision of the current configuration if this entry
// VM is leaving in it, and 0 otherwise.
func (d *Daemon) leavingRevision() uint64 {
	v := d.config.View()
	if v == nil {
		return 0
	}
	if e := v.Entry(d.settings.ID); e == nil || !e.Leaving {
		return 0
	}
	return v.Revision()
}

// handOver waits until the cells of this entry VM are assigned to others and the
// outcomes of its ended claims are reported, at most handoverTimeout.
func (d *Daemon) handOver(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for d.holdsCells() {
		if !wait.For(limited, drainPollInterval) {
			break
		}
	}
	_ = d.claims.Drain(limited)
}

// holdsCells reports whether the current configuration assigns a cell to this entry
// VM.
func (d *Daemon) holdsCells() bool {
	v := d.config.View()
	if v == nil {
		return false
	}
	for _, c := range v.Config.Cells {
		if c.Entry == d.settings.ID {
			return true
		}
	}
	return false
}

// shutdown closes the listeners and ends the background work. It aborts calls that
// are still in flight after shutdownTimeout or when ctx ends.
func (d *Daemon) shutdown(ctx context.Context, cancel context.CancelFunc) {
	if n := d.callers.limiter.Total(); n > 0 {
		d.log.Log(event.StoppedHard).Uint64("calls_cut", uint64(n)).Send()
	}
	limited, done := context.WithTimeout(ctx, shutdownTimeout)
	defer done()
	var servers conc.WaitGroup
	for _, s := range d.servers.all() {
		crash.Go(&servers, func() {
			if err := s.Shutdown(limited); err != nil {
				d.log.Log(event.StoppedHard).Str("address", s.Address()).Err(err).Send()
			}
		})
	}
	servers.Wait()
	cancel()
	d.workers.Wait()
	d.upstreams.CloseIdleConnections()
	_ = d.tracing.Shutdown(limited)
	_ = d.metrics.Close()
	d.log.Log(event.Stopped).Send()
}
