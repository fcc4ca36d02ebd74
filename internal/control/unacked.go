package control

import (
	"strings"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

const (
	// unackedStateAfter is the time after which a desired state that live
	// gateways have not acknowledged is logged: half of the two seconds within
	// which a change must be in force.
	unackedStateAfter = time.Second
	// maxLoggedIDs limits the gateways that are named in a log line.
	maxLoggedIDs = 8
)

// statePublication is the last configuration of a term that changed the desired
// state.
type statePublication struct {
	version, revision uint64
	at                time.Duration
	// checked is set once missing acknowledgements have been logged.
	checked bool
}

// unackedState describes the live gateways and entry VMs that have not
// acknowledged a published desired state.
type unackedState struct {
	ids []string
	// notSent is the number of those that have not been sent a configuration
	// since, notHeard of those that have not renewed since.
	notSent, notHeard int
}

// unacked returns those that have not acknowledged p. Those without a renewal
// within freshness.LiveTimeout are left out.
func (t *term) unacked(now time.Duration, p statePublication) unackedState {
	var u unackedState
	for _, id := range sortedIDs(t.reports) {
		report := t.reports[id]
		if report.revision >= p.revision || now > report.receivedAt+freshness.LiveTimeout {
			continue
		}
		u.ids = append(u.ids, id)
		if report.configSentAt < p.at {
			u.notSent++
		}
		if report.receivedAt < p.at {
			u.notHeard++
		}
	}
	return u
}

// logUnackedState logs, once for each desired state, the live gateways that
// have not acknowledged it within unackedStateAfter.
func (l *loop) logUnackedState() {
	now := l.server.now()
	p := &l.term.lastState
	if p.checked || p.revision == 0 || now < p.at+unackedStateAfter {
		return
	}
	p.checked = true
	u := l.term.unacked(now, *p)
	if len(u.ids) == 0 {
		return
	}
	l.server.opts.Log.Log(event.ConfigUnacked).Uint64("version", p.version).Uint64("revision", p.revision).
		Uint64("after_ms", uint64((now-p.at).Milliseconds())).Uint64("missing", uint64(len(u.ids))).
		Uint64("not_sent", uint64(u.notSent)).Uint64("not_heard", uint64(u.notHeard)).
		Str("ids", strings.Join(u.ids[:min(len(u.ids), maxLoggedIDs)], " ")).Send()
}
