package configsync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// The loop must wake up for a renewal that is due, and for a round of
// confirmations once a renewal is late or has failed and the lease is about to
// end. It must not wake up more often.
func TestLoopSleepsUntilNextDeadline(t *testing.T) {
	const now = 10 * time.Second
	lateAt := now - 100*time.Millisecond + DefaultRenewInterval + renewalGrace
	for _, c := range []struct {
		name  string
		stale bool
		renew renewalState
		next  time.Duration
		want  time.Duration
	}{
		{"the leader holds a renewal open, confirmations are not used", true, renewalState{running: true, sentAt: now}, 0, maxSleep},
		{"the next renewal is due soon", true, renewalState{nextAt: now + 70*time.Millisecond}, 0, 70 * time.Millisecond},
		{"the next renewal is overdue", true, renewalState{nextAt: now - time.Second}, 0, minSleep},
		{"a renewal is in flight and not yet late", false, renewalState{running: true, sentAt: now - 500*time.Millisecond}, 0, lateAt - now - 400*time.Millisecond},
		{"a renewal has failed and the lease has ended", false, renewalState{failures: 1, nextAt: now + time.Second}, 0, minSleep},
		{"a renewal has failed and the last round was recent", false, renewalState{failures: 1, nextAt: now + time.Second}, now + 300*time.Millisecond, 300 * time.Millisecond},
		{"no renewal has failed and none is in flight", false, renewalState{nextAt: now + 500*time.Millisecond}, 0, 500 * time.Millisecond},
	} {
		l := newLoop(t.Context(), New(Options{Entry: &catalogpb.Entry{Id: "e"}, ServesStale: c.stale}), nil)
		l.renew, l.confirm.nextRound = c.renew, c.next
		assert.Equal(t, l.sleepTime(now), c.want, c.name)
	}
}
