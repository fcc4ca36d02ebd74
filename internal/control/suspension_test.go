package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A leader whose VM was suspended finds its last heartbeat round recent, as the
// monotonic clock stood still. The round must not count: another replica may lead,
// and may have committed changes, by now.
func TestHeartbeatRoundBeforeSuspensionDoesNotCount(t *testing.T) {
	s := New(Options{})
	var suspended time.Duration
	s.bootTime = func() time.Duration { return s.now() + suspended }
	l := newLoop(t.Context(), s, nil)
	before := Status{LastQuorum: time.Now()}
	assert.Equal(t, l.lastQuorum(before), s.monotonic(before.LastQuorum))
	suspended = 2 * time.Second
	assert.Equal(t, l.lastQuorum(before), neverAnswered)
	assert.Equal(t, l.lastQuorum(before), neverAnswered)
	after := Status{LastQuorum: time.Now()}
	assert.Equal(t, l.lastQuorum(after), s.monotonic(after.LastQuorum))
}
