// Package wait provides delays and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It reports true after d, and false if ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls f after each interval until ctx ends. Calls do not overlap: if
// f takes longer than the interval, intervals are skipped.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
