package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseIsNoticedUntilControlWasAskedAgain guards against a process that is resumed
// after a pause and acts on what it held before: neither the answer to a request from
// before the pause nor the first iteration of the loop ends the wait.
func TestPauseIsNoticedUntilControlWasAskedAgain(t *testing.T) {
	for _, tc := range []struct {
		name string
		// sent is the time of the request, relative to the resumption, whose answer
		// arrives 10 ms after it.
		sent    time.Duration
		granted bool
		waits   time.Duration
	}{
		{"answer to a request after the pause", time.Millisecond, true, 10 * time.Millisecond},
		{"answer to a request from before the pause", -time.Second, true, maxRefreshWait},
		{"no lease", time.Millisecond, false, maxRefreshWait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				s := New(Options{})
				s.bootTime = func() time.Duration { return time.Hour + time.Since(start) }
				assert.Assert(t, !s.pause.recordActive())
				time.Sleep(maxSleep)
				assert.Assert(t, !s.AwaitRefresh(t.Context()))
				assert.Assert(t, !s.pause.recordActive())

				time.Sleep(4 * time.Second)
				resumed := time.Now()
				go func() {
					// The loop may run before the calls that wait.
					assert.Check(t, s.pause.recordActive())
					assert.Check(t, !s.pause.recordActive())
					sent := s.bootTime() + tc.sent
					time.Sleep(10 * time.Millisecond)
					s.pause.recordRefresh(sent, tc.granted)
				}()
				synctest.Wait()
				assert.Assert(t, s.AwaitRefresh(t.Context()))
				assert.Equal(t, time.Since(resumed), tc.waits)
				assert.Assert(t, !s.AwaitRefresh(t.Context()))
			})
		})
	}
}
