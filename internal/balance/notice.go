package balance

import (
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/notice"
)

// start identifies the start of the upstream.
func (u Upstream) start() notice.Start { return notice.Start{ID: u.ID, Started: u.Started} }

// RecordLeaving records that the upstream has said in an answer that it is
// leaving, which holds for this start. It reports whether that is new.
func (b *Balancer) RecordLeaving(u Upstream) bool {
	isNew := b.notices.RecordLeaving(u.start())
	b.linkNotice(u)
	return isNew
}

// RecordPause records that the upstream has asked for a pause. It returns the
// latest end of the pauses of this start and whether that is new.
func (b *Balancer) RecordPause(now time.Duration, u Upstream, pause time.Duration) (until time.Duration, isNew bool) {
	until, isNew = b.notices.RecordPause(now, u.start(), pause)
	b.linkNotice(u)
	return until, isNew
}

// RecordPauseTime records the Unix time in milliseconds at which the upstream has asked for a
// pause.
func (b *Balancer) RecordPauseTime(u Upstream, unixMs uint64) {
	b.notices.RecordPauseTime(u.start(), unixMs)
}

// RecordInvalidNotice records a value in an answer of the upstream that is not
// followed. It reports whether it differs from the last one.
func (b *Balancer) RecordInvalidNotice(u Upstream, value string) bool {
	return b.notices.RecordInvalid(u.start(), value)
}

// linkNotice points the local state of the upstream to what it has said, if the
// configuration holds the same start.
func (b *Balancer) linkNotice(u Upstream) {
	if known := b.upstreams[u.ID]; known != nil && known.Started == u.Started {
		known.notice = b.notices.Find(u.start())
	}
}

// Notice returns what this start of the upstream has said, nil if nothing.
func (b *Balancer) Notice(u Upstream) *notice.Status { return b.notices.Find(u.start()) }

// BeginProbe counts a probe as in flight at the upstream until the returned Status
// is passed to EndProbe. It reports false if no probe may be sent there now.
func (b *Balancer) BeginProbe(now time.Duration, u Upstream) (*notice.Status, bool) {
	s := b.notices.Find(u.start())
	if s == nil {
		return nil, true
	}
	inFlight := 0
	if known := b.upstreams[u.ID]; known != nil {
		inFlight = len(known.inFlight)
	}
	if !s.AdmitsProbe(now, inFlight) {
		return nil, false
	}
	s.BeginProbe()
	return s, true
}

// RecordAnswer records that the upstream has run a request, so that after a pause
// it gets more requests at once.
func (b *Balancer) RecordAnswer(now time.Duration, id string) {
	if u := b.upstreams[id]; u != nil {
		u.notice.RecordAnswer(now, u.Slots)
	}
}

// configured reports whether the configuration lets the upstream get requests.
func (b *Balancer) configured(u *upstream) bool {
	return !u.Draining && !u.outOfRotation && !b.closedZones[u.Zone]
}

// PauseWait reports whether every upstream of the pool that the configuration lets
// get requests has said that it is leaving or pauses, and there is one. It returns
// the time until the first pause ends, and how many pause; without one the time is
// 0.
func (b *Balancer) PauseWait(now time.Duration, pool string) (wait time.Duration, paused int, closed bool) {
	for _, u := range b.groups[pool] {
		if !b.configured(u) {
			continue
		}
		if u.notice.Open(now) {
			return 0, 0, false
		}
		closed = true
		if u.notice.Leaving() {
			continue
		}
		left := u.notice.PausedUntil() - now
		if paused == 0 || left < wait {
			wait = left
		}
		paused++
	}
	return wait, paused, closed
}

// Resuming reports whether an upstream of the pool that is not in exclude takes
// few requests at a time, since a pause has ended.
func (b *Balancer) Resuming(now time.Duration, pool string, exclude []string) bool {
	return slices.ContainsFunc(b.groups[pool], func(u *upstream) bool {
		return b.acceptsWork(u) && u.notice.Resuming(now) && !slices.Contains(exclude, u.ID)
	})
}

// CountNotices returns the number of upstreams of the pool that the configuration
// lets get requests and that have said that they are leaving, or pause.
func (b *Balancer) CountNotices(now time.Duration, pool string) (leaving, paused int) {
	for _, u := range b.groups[pool] {
		switch {
		case !b.configured(u):
		case u.notice.Leaving():
			leaving++
		case u.notice.Paused(now):
			paused++
		}
	}
	return leaving, paused
}
