package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestAcknowledgementDoesNotWaitForBusyLoop guards against incident inc1: committed
// changes were not acknowledged while the event loop was busy. Here it handles
// no event at all.
func TestAcknowledgementDoesNotWaitForBusyLoop(t *testing.T) {
	for _, tc := range []struct {
		name   string
		queued int
	}{{"empty queue", 0}, {"full queue", eventQueueSize}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{})
				for range tc.queued {
					s.post(t.Context(), &renewal{})
				}
				start := time.Now()
				ended := make(chan time.Duration, 1)
				go func() {
					s.awaitShortly(t.Context(), 2)
					ended <- time.Since(start)
				}()
				select {
				case took := <-ended:
					assert.Equal(t, took, shortAcceptanceWait)
				case <-time.After(time.Minute):
					close(s.done)
					t.Fatal("the call still waits for the loop after a minute")
				}
			})
		})
	}
}
