package forward

import (
	"net/http"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// notices holds what upstreams have said to this entry VM. The dispatcher of their
// cell is told with each release; until it has received that, it may grant slots
// that must not be used. It is safe for concurrent use.
type notices struct {
	started time.Time

	mu    sync.Mutex
	known *notice.Notices
	// usedAt is when the entry VM last had a grant of a start that has said
	// something, and sweptAt when the others were last looked for.
	usedAt  map[notice.Start]time.Duration
	sweptAt time.Duration
}

// noticeSweepInterval is the interval at which starts that are no longer granted
// are looked for.
const noticeSweepInterval = time.Minute

func newNotices() *notices {
	return &notices{started: time.Now(), known: notice.New(), usedAt: make(map[notice.Start]time.Duration)}
}

func startOf(g slot.Grant) notice.Start {
	return notice.Start{ID: g.Cell.Service + "/" + g.Upstream, Started: g.Incarnation}
}

// find returns the time and what the upstream has said. n.mu must be held.
func (n *notices) find(g slot.Grant) (time.Duration, *notice.Status) {
	now, s := time.Since(n.started), startOf(g)
	said := n.known.Find(s)
	if said != nil {
		n.usedAt[s] = now
	}
	return now, said
}

// open reports whether a request may be sent to the granted upstream.
func (n *notices) open(g slot.Grant) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, said := n.find(g)
	return said.Open(now)
}

// said returns what the granted upstream has said, for its dispatcher.
func (n *notices) said(g slot.Grant) notice.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, said := n.find(g)
	return said.Notice(now)
}

// sweep forgets the starts that have not been granted for long. n.mu must be held.
func (n *notices) sweep(now time.Duration) {
	if now-n.sweptAt < noticeSweepInterval {
		return
	}
	n.sweptAt = now
	n.known.Retain(now, func(s notice.Start) bool { return now-n.usedAt[s] < noticeSweepInterval })
	for s := range n.usedAt {
		if n.known.Find(s) == nil {
			delete(n.usedAt, s)
		}
	}
}

// recordNotice records and logs what an answer says of the granted upstream.
func (f *Forwarder) recordNotice(g slot.Grant, status int, h http.Header) {
	leaving, invalidLeaving := notice.ParseLeaving(h.Values(notice.HeaderLeaving))
	var pause time.Duration
	var invalidPause string
	if status == http.StatusServiceUnavailable {
		pause, invalidPause = notice.ParsePause(h, time.Now())
	}
	if !leaving && pause == 0 && invalidLeaving == "" && invalidPause == "" {
		return
	}
	n := f.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	now, s := time.Since(n.started), startOf(g)
	n.sweep(now)
	n.usedAt[s] = now
	log := func(e event.Event) *event.Line {
		return f.opts.Events.Log(e).Str("service", g.Cell.Service).Str("zone", g.Cell.Zone).Str("upstream", g.Upstream).
			Uint64("incarnation", g.Incarnation).Uint64("status", uint64(status))
	}
	if leaving && n.known.RecordLeaving(s) {
		log(event.UpstreamLeaving).Send()
	}
	if pause > 0 {
		if until, isNew := n.known.RecordPause(now, s, pause); isNew {
			log(event.UpstreamPaused).Str("until", n.started.Add(until).UTC().Format(time.RFC3339Nano)).Uint64("pause_ms", uint64((until - now).Milliseconds())).Send()
		}
	}
	for header, value := range map[string]string{notice.HeaderLeaving: invalidLeaving, fault.HeaderRetryAfter: invalidPause} {
		if value != "" && n.known.RecordInvalid(s, value) {
			log(event.NoticeInvalid).Str("header", header).Str("value", value).Send()
		}
	}
}

// withhold returns the slot of an upstream that has begun to leave or to pause
// since its dispatcher granted it, and asks for another one.
func (c *call) withhold() statechart.Event {
	c.releaseSlot(clusterpb.Outcome_OUTCOME_UNUSED, 0, false)
	c.withheld++
	c.avoid = append(c.avoid, c.grant.Upstream)
	if c.withheld > c.f.opts.MaxAttempts {
		c.releaseClaim()
		return c.fail(fault.New(fault.UpstreamsPaused, "the granted upstreams are leaving or have asked for a pause"))
	}
	return "retry"
}
