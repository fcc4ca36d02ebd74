// Package reach decides whether a gateway has lost the network to all upstreams.
//
// A gateway may be partitioned from the upstreams while callers, control and
// other gateways still reach it. Connections to upstreams then hang or are reset,
// or open ones live on while new ones are refused. The decision is based on the
// outcomes of connection attempts, probes and requests at all upstreams.
//
// The package does no I/O and has no clock or goroutines. Times are readings of
// the caller's monotonic clock.
package reach

import "time"

const (
	// minFailureSpan is the shortest time from the first to the last failure. Probes that
	// time out together after the process was paused are not evidence.
	minFailureSpan = 250 * time.Millisecond
	// minSuspectUpstreams is the number of different upstreams that must have
	// failed since the last success before the network is suspected. Failures of
	// one upstream are common.
	minSuspectUpstreams = 2
	// maxFailedUpstreams bounds the upstreams that are remembered.
	maxFailedUpstreams = 64
)

// Cause says what the gateway has lost.
type Cause string

// The causes.
const (
	// None means that the upstreams are not lost.
	None Cause = ""
	// NoAnswers means that nothing answers and no new connection works.
	NoAnswers Cause = "no answers"
	// NoConnections means that no new connection works, but upstreams answer on open
	// ones.
	NoConnections Cause = "no new connections"
)

// Status is the decision and the evidence for it.
type Status struct {
	Cause Cause
	// Since is the time of the first failure after the last success.
	Since time.Duration
	// Failed is the number of different upstreams that have failed since then.
	Failed int
}

// Lost reports whether all upstreams are lost.
func (s Status) Lost() bool { return s.Cause != None }

// series is a series of failures without a success between them.
type series struct {
	first, last time.Duration
	failed      map[string]Upstream
	// answered holds the upstreams that have answered on open connections meanwhile.
	answered map[string]bool
	lost     bool
}

func (s *series) succeed() { *s = series{} }

func (s *series) fail(now time.Duration, u Upstream) {
	if s.failed == nil {
		s.failed = make(map[string]Upstream)
		s.first = now
	}
	s.last = now
	if len(s.failed) < maxFailedUpstreams {
		s.failed[u.ID] = u
	}
}

// answer records an answer that does not end the series.
func (s *series) answer(id string) {
	if len(s.failed) == 0 || len(s.answered) >= maxFailedUpstreams && !s.has(id) {
		return
	}
	if s.answered == nil {
		s.answered = make(map[string]bool)
	}
	s.answered[id] = true
}

func (s *series) has(id string) bool {
	_, failed := s.failed[id]
	return failed
}

// update sets lost if the failures suffice. Only a success clears it.
func (s *series) update(known Known) {
	if s.lost || len(s.failed) == 0 {
		return
	}
	e := Evidence{Span: s.last - s.first, Answered: len(s.answered)}
	for id, u := range s.failed {
		e.Failed = append(e.Failed, u)
		if s.answered[id] {
			e.FailedAndAnswered++
		}
	}
	s.lost = Judge(known, e) == Loss
}

func (s *series) suspect(known Known) bool {
	return s.lost || len(s.failed) > 0 && len(s.failed) >= min(minSuspectUpstreams, known.Upstreams)
}

// Tracker records outcomes and decides. The zero value is ready for use; it is not
// safe for concurrent use.
type Tracker struct {
	// unopened is the series of connections that could not be opened; it ends with
	// one that is opened.
	unopened series
	// broken is the series of connections that could not be opened or broke. It ends
	// with an answer, as does unanswered, which also has those on which nothing was
	// answered in time. Upstreams whose slots are all busy do not answer either, so
	// that unanswered alone does not decide.
	broken, unanswered series
}

// RecordAnswer records that an upstream has answered.
func (t *Tracker) RecordAnswer(u Upstream) {
	t.broken.succeed()
	t.unanswered.succeed()
	t.unopened.answer(u.ID)
}

// RecordTimeout records that an upstream did not answer in time on an open
// connection.
func (t *Tracker) RecordTimeout(now time.Duration, u Upstream) { t.unanswered.fail(now, u) }

// RecordBroken records that a connection to an upstream broke before an answer.
func (t *Tracker) RecordBroken(now time.Duration, u Upstream) {
	t.broken.fail(now, u)
	t.unanswered.fail(now, u)
}

// RecordOpened records that a new connection to an upstream has been opened.
func (t *Tracker) RecordOpened() { t.unopened.succeed() }

// RecordNotOpened records that a new connection to an upstream could not be
// opened.
func (t *Tracker) RecordNotOpened(now time.Duration, u Upstream) {
	t.unopened.fail(now, u)
	t.RecordBroken(now, u)
}

// IsEvidence reports whether failures of the upstream already count for the decision. A
// request that was not answered does not: only a new connection shows whether the
// upstream is just busy.
func (t *Tracker) IsEvidence(upstream string) bool {
	return t.unopened.has(upstream) || t.broken.has(upstream)
}

// HasEvidence reports whether any failure counts for the decision.
func (t *Tracker) HasEvidence() bool { return len(t.unopened.failed) > 0 || len(t.broken.failed) > 0 }

// Suspect reports whether the gateway should probe upstreams of its own accord,
// to find out whether all are lost or whether they are back.
func (t *Tracker) Suspect(known Known) bool {
	return t.unopened.suspect(known) || t.broken.lost || t.unanswered.suspect(known)
}

// Status returns the decision. Upstreams stay lost until a new connection opens,
// and if connections broke, until an answer.
func (t *Tracker) Status(known Known) Status {
	t.unopened.update(known)
	t.broken.update(known)
	evidence := t.unopened
	if t.broken.lost {
		evidence = t.broken
	}
	if !evidence.lost {
		return Status{}
	}
	status := Status{Cause: NoConnections, Since: evidence.first, Failed: len(evidence.failed)}
	if t.unanswered.suspect(known) {
		status.Cause = NoAnswers
	}
	return status
}
