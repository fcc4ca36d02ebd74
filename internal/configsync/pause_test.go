package configsync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// TestLoopSleepsUntilSomethingIsDue lists what the clock alone brings about: a
// renewal that waits for its turn, and a round of confirmations once a renewal
// is late or has failed and the lease is about to end.
func TestLoopSleepsUntilSomethingIsDue(t *testing.T) {
	const now = 10 * time.Second
	lateAt := now - 100*time.Millisecond + DefaultRenewInterval + lateAfter
	for _, c := range []struct {
		name  string
		stale bool
		renew renewState
		next  time.Duration
		want  time.Duration
	}{
		{"a renewal is held by the leader, no confirmations are used", true, renewState{running: true, sent: now}, 0, longestPause},
		{"the next renewal is due soon", true, renewState{next: now + 70*time.Millisecond}, 0, 70 * time.Millisecond},
		{"the next renewal is overdue", true, renewState{next: now - time.Second}, 0, shortestPause},
		{"the renewal may become late", false, renewState{running: true, sent: now - 500*time.Millisecond}, 0, lateAt - now - 400*time.Millisecond},
		{"a renewal has failed and the lease has ended", false, renewState{failures: 1, next: now + time.Second}, 0, shortestPause},
		{"the last round was just now", false, renewState{failures: 1, next: now + time.Second}, now + 300*time.Millisecond, 300 * time.Millisecond},
		{"nothing failed and nothing is under way", false, renewState{next: now + 500*time.Millisecond}, 0, 500 * time.Millisecond},
	} {
		l := newLoop(t.Context(), New(Options{Entry: &catalogpb.Entry{Id: "e"}, ServesStale: c.stale}), nil)
		l.renew, l.confirm.next = c.renew, c.next
		assert.Equal(t, l.pause(now), c.want, c.name)
	}
}
