package entryd

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// Times of a planned stop.
const (
	departureTimeout = 8 * time.Second
	handOverTimeout  = 5 * time.Second
	shutdownTimeout  = 2 * time.Second
)

// listeners are the servers of an entry VM.
type listeners struct {
	callers, announce, cluster, metrics *httpnet.Server
}

func (l *listeners) all() []*httpnet.Server {
	var open []*httpnet.Server
	for _, s := range []*httpnet.Server{l.callers, l.announce, l.cluster, l.metrics} {
		if s != nil {
			open = append(open, s)
		}
	}
	return open
}

// leave carries out a planned stop: look-up answers stop naming this entry VM,
// which serves on for as long as callers may keep an answer, hands over what
// it does for others, and finishes the calls in flight. The end of ctx cuts
// the stop short.
func (d *Daemon) leave(ctx context.Context) {
	d.log.Log(event.Stopping).Send()
	d.step(eventStop)
	d.awaitDeparture(ctx)
	if !wait.For(ctx, d.settings.LookupTTLMs.Duration()) {
		return
	}
	d.handOver(ctx)
	d.step(eventAnswersExpired)
	limit := time.Now().Add(d.settings.DrainMs.Duration())
	for !d.callers.drained() && time.Now().Before(limit) {
		if !wait.For(ctx, drainPoll) {
			return
		}
	}
	// The outcomes of the last calls must reach the members of their claims.
	limited, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_ = d.claims.Drain(limited)
	d.step(eventIdle)
}

// awaitDeparture waits until no entry VM names this one in its look-up answers
// any more: until the configuration that says so is accepted. Only then does
// the time begin for which callers may keep an answer. Without a control group
// that waits in vain, it gives up.
func (d *Daemon) awaitDeparture(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	left := uint64(0)
	for left == 0 || d.config.AcceptedEverywhere() < left {
		if left == 0 {
			left = d.leavingSince()
		}
		if !wait.For(limited, drainPoll) {
			return
		}
	}
}

// leavingSince returns the revision of a configuration in which this entry VM
// is leaving, or 0.
func (d *Daemon) leavingSince() uint64 {
	v := d.config.View()
	if v == nil {
		return 0
	}
	if e := v.Entry(d.settings.ID); e == nil || !e.Leaving {
		return 0
	}
	return v.Revision()
}

// handOver waits until the cells of this entry VM have moved and other entry
// VMs hold its claims.
func (d *Daemon) handOver(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for d.holdsCells() {
		if !wait.For(limited, drainPoll) {
			break
		}
	}
	_ = d.claims.Drain(limited)
}

// holdsCells reports whether the configuration in force assigns a cell to this
// entry VM.
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

// close stops the listeners and the background work.
func (d *Daemon) close(ctx context.Context, cancel context.CancelFunc) {
	if n := d.callers.limiter.Total(); n > 0 {
		d.log.Log(event.StoppedHard).Uint64("calls_cut", uint64(n)).Send()
	}
	limited, done := context.WithTimeout(ctx, shutdownTimeout)
	defer done()
	for _, s := range d.servers.all() {
		_ = s.Shutdown(limited)
	}
	cancel()
	d.workers.Wait()
	d.upstreams.CloseIdleConnections()
	_ = d.tracing.Shutdown(limited)
	_ = d.metrics.Close()
	d.log.Log(event.Stopped).Send()
}
