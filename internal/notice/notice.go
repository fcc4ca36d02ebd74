// Package notice holds what upstreams say of themselves in their answers: that
// they are leaving, and that they want no requests for some time. Everything that
// sends requests to upstreams decides by this package whether it may send one.
//
// The package does no I/O and has no clock. Times are readings of the caller's
// monotonic clock.
package notice

import "time"

// Start identifies one start of an upstream. What an upstream says holds for this
// start, wherever its address or its pool moves.
type Start struct {
	ID string
	// Started grows with each start of the process, such as its start time.
	Started uint64
}

// Notice is what an upstream has said of itself, as it is passed on.
type Notice struct {
	// Leaving is set if the upstream is leaving.
	Leaving bool
	// Pause is the time for which it wants no more requests, 0 if it wants some.
	Pause time.Duration
}

// Status is what one start of an upstream has said. The zero Status, and a nil
// one, are those of an upstream that has said nothing.
type Status struct {
	leaving bool
	// pausedUntil is the latest end of all pauses.
	pausedUntil time.Duration
	// pauseSaidMs is the Unix time in milliseconds at which a pause was last asked for; 0 if
	// it is not known.
	pauseSaidMs uint64
	// window bounds the requests and probes in flight after a pause; 0 means no
	// bound.
	window int
	// probing is the number of probes in flight that were counted by BeginProbe.
	probing int
	// invalid is the last value that was not followed.
	invalid string
	// absentSince is when the upstream was first missing in the configuration, 0
	// while it is there.
	absentSince time.Duration
}

// Leaving reports whether the upstream has said that it is leaving.
func (s *Status) Leaving() bool { return s != nil && s.leaving }

// Paused reports whether the upstream wants no requests at the time now.
func (s *Status) Paused(now time.Duration) bool { return s != nil && now < s.pausedUntil }

// PausedUntil returns the latest end of its pauses.
func (s *Status) PausedUntil() time.Duration {
	if s == nil {
		return 0
	}
	return s.pausedUntil
}

// Resuming reports whether the number of requests in flight is bounded since a
// pause has ended.
func (s *Status) Resuming(now time.Duration) bool {
	return s != nil && s.window > 0 && s.Open(now)
}

// Notice returns what the upstream has said, as of now.
func (s *Status) Notice(now time.Duration) Notice {
	return Notice{Leaving: s.Leaving(), Pause: max(0, s.PausedUntil()-now)}
}

// Open reports whether the upstream may be sent anything: it neither leaves nor
// pauses.
func (s *Status) Open(now time.Duration) bool { return !s.Leaving() && !s.Paused(now) }

// AdmitsRequest reports whether a request may be sent beside inFlight others.
func (s *Status) AdmitsRequest(now time.Duration, inFlight int) bool {
	return s == nil || s.Open(now) && (s.window == 0 || inFlight < s.window)
}

// AdmitsProbe reports whether a probe may be sent while inFlight requests are in
// flight.
func (s *Status) AdmitsProbe(now time.Duration, inFlight int) bool {
	return s == nil || s.AdmitsRequest(now, inFlight+s.probing)
}

// BeginProbe counts a probe as in flight until EndProbe.
func (s *Status) BeginProbe() {
	if s != nil {
		s.probing++
	}
}

// EndProbe ends a probe that was counted by BeginProbe.
func (s *Status) EndProbe() {
	if s != nil {
		s.probing--
	}
}

// RecordAnswer records an answer to a request that asked for no pause. After a
// pause, each such answer admits one more request in flight, up to slots.
func (s *Status) RecordAnswer(now time.Duration, slots int) {
	if s == nil || s.window == 0 || s.Paused(now) {
		return
	}
	if s.window++; s.window > slots {
		s.window = 0
	}
}

// Notices holds the Status of each start of an upstream that has said something.
// It is not safe for concurrent use.
type Notices struct {
	statuses map[Start]*Status
}

// New returns empty Notices.
func New() *Notices { return &Notices{statuses: make(map[Start]*Status)} }

// Find returns the Status of the start, nil if it has said nothing.
func (n *Notices) Find(s Start) *Status { return n.statuses[s] }

// get returns the Status of the start and creates it on first use.
func (n *Notices) get(s Start) *Status {
	st := n.statuses[s]
	if st == nil {
		st = &Status{}
		n.statuses[s] = st
	}
	return st
}

// RecordLeaving records that the start is leaving. It reports whether that is new.
func (n *Notices) RecordLeaving(s Start) bool {
	st := n.get(s)
	isNew := !st.leaving
	st.leaving = true
	return isNew
}

// pauseLogStep is the least extension of a pause that is reported as new, so that
// the answers to the requests in flight are logged once.
const pauseLogStep = 500 * time.Millisecond

// RecordPause records that the start wants no requests for the time pause. It
// returns the latest end of its pauses and whether that is new.
func (n *Notices) RecordPause(now time.Duration, s Start, pause time.Duration) (until time.Duration, isNew bool) {
	st := n.get(s)
	isNew = !st.Paused(now) || now+pause >= st.pausedUntil+pauseLogStep
	st.pausedUntil = max(st.pausedUntil, now+pause)
	st.window = 1
	return st.pausedUntil, isNew
}

// RecordPauseTime records the Unix time in milliseconds at which the start has asked for a
// pause.
func (n *Notices) RecordPauseTime(s Start, unixMs uint64) {
	st := n.get(s)
	st.pauseSaidMs = max(st.pauseSaidMs, unixMs)
}

// CarryPause moves on the pause of a start that a later one has replaced, if it was asked for
// after the later one had started: the announcement of that one came late. Start.Started
// must be a Unix time in milliseconds.
func (n *Notices) CarryPause(now time.Duration, from, to Start) {
	said := n.Find(from)
	if said.Paused(now) && said.pauseSaidMs >= to.Started {
		n.RecordPause(now, to, said.pausedUntil-now)
		n.RecordPauseTime(to, said.pauseSaidMs)
	}
}

// Merge records what another process has been told by the start.
func (n *Notices) Merge(now time.Duration, s Start, said Notice) {
	if said.Leaving {
		n.RecordLeaving(s)
	}
	if said.Pause > 0 {
		n.RecordPause(now, s, min(said.Pause, MaxPause))
	}
}

// RecordInvalid records a value that is not followed. It reports whether it
// differs from the last one.
func (n *Notices) RecordInvalid(s Start, value string) bool {
	st := n.get(s)
	changed := st.invalid != value
	st.invalid = value
	return changed
}

// retention is how long the Status of an upstream that is missing in the
// configuration is kept: an older configuration, or one from before its
// registration was known, may bring it back.
const retention = time.Hour

// Retain forgets the starts that have been missing in the configuration for
// retention. present reports whether a start is in the configuration.
func (n *Notices) Retain(now time.Duration, present func(Start) bool) {
	for s, st := range n.statuses {
		switch {
		case present(s):
			st.absentSince = 0
		case st.absentSince == 0:
			st.absentSince = max(now, 1)
		case now-st.absentSince >= retention:
			delete(n.statuses, s)
		}
	}
}
