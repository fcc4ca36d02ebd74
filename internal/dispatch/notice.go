package dispatch

import (
	"time"

	"balsamcourse.example/balsamcourse/internal/notice"
)

// start identifies the start of the upstream.
func (u *upstream) start() notice.Start {
	return notice.Start{ID: u.id, Started: u.incarnation}
}

// noticeCheckInterval is the interval at which what absent upstreams have said is
// looked for, to be forgotten after an hour.
const noticeCheckInterval = time.Second

func (c *Cell) checkNotices() {
	if c.now-c.noticesCheckedAt >= noticeCheckInterval {
		c.noticesCheckedAt = c.now
		c.notices.Retain(c.now, c.hasStart)
	}
}

// hasStart reports whether the upstream is in the cell in this start.
func (c *Cell) hasStart(s notice.Start) bool {
	u := c.upstream(s.ID)
	return u != nil && u.incarnation == s.Started
}

// observeNotice acts on what an upstream has said of itself to an entry VM. A
// start that leaves drains, as if it had announced so. A pause binds all entry
// VMs: the cell counts the requests in flight, so that an upstream that turns one
// away takes fewer than it has slots, whoever asks.
func (c *Cell) observeNotice(id string, incarnation uint64, said notice.Notice) {
	if incarnation == 0 || said == (notice.Notice{}) {
		return
	}
	s := notice.Start{ID: id, Started: incarnation}
	c.notices.Merge(c.now, s, said)
	u := c.upstream(id)
	if u == nil || u.incarnation != incarnation {
		return
	}
	u.notice = c.notices.Find(s)
	if said.Leaving {
		c.applyChartEvent(u, eventDrain)
	}
}

// pauseWait returns the time to the end of the first pause. It reports false
// unless an upstream pauses and none could get a request but for its pause.
func (c *Cell) pauseWait() (wait time.Duration, paused bool) {
	for _, u := range c.upstreams {
		if u.limit == 0 || !c.isGrantable(u) {
			continue
		}
		if !u.notice.Paused(c.now) {
			return 0, false
		}
		if left := u.notice.PausedUntil() - c.now; !paused || left < wait {
			wait, paused = left, true
		}
	}
	return wait, paused
}
