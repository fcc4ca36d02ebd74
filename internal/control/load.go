package control

import (
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
)

const (
	// loadWindow is the time over which the load of the loop is observed.
	loadWindow = time.Second
	// slowLoopWait is the wait of an event from which on the loop counts as slow.
	// It is half of maxConfigInterval.
	slowLoopWait = 200 * time.Millisecond
	// slowAnswers is the time that the answers due at once take from which on they count
	// as slow.
	slowAnswers = slowLoopWait
)

// loopLoad is the load of the event loop in the current window.
type loopLoad struct {
	startedAt time.Duration
	events    int
	maxWait   time.Duration
	busy      time.Duration
	// searches counts the searches for accepted revisions.
	searches int
}

// record adds an event that waited for wait and took busy to handle.
func (w *loopLoad) record(wait, busy time.Duration) {
	w.events++
	w.maxWait = max(w.maxWait, wait)
	w.busy += busy
}

// logLoad logs the load of the last window, if events waited long in it or many answers
// to renewals were due at once.
func (l *loop) logLoad() {
	now := l.server.now()
	if now < l.load.startedAt+loadWindow {
		return
	}
	w := l.load
	l.load = loopLoad{startedAt: now}
	answers := l.server.answers.takePeak()
	if w.maxWait < slowLoopWait && l.server.answers.costOf(answers) < slowAnswers {
		return
	}
	line := l.server.opts.Log.Log(event.LoopSlow).Uint64("events", uint64(w.events)).
		Uint64("max_wait_ms", uint64(w.maxWait.Milliseconds())).Uint64("busy_ms", uint64(w.busy.Milliseconds())).
		Uint64("window_ms", uint64((now-w.startedAt).Milliseconds())).Uint64("answers", uint64(answers)).Uint64("acceptance_searches", uint64(w.searches)).
		Uint64("answer_us", uint64(l.server.answers.costOf(1).Microseconds()))
	if t := l.term; t != nil {
		line.Uint64("revision", t.config.Revision).Uint64("accepted", t.tracker.Accepted()).Uint64("held_renewals", uint64(len(t.heldRenewals)))
	}
	line.Send()
}
