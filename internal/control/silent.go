package control

import (
	"math"
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

// silentCache holds the last result of silentEntries, which goes into each response
// and rarely changes.
type silentCache struct {
	valid bool
	ids   []string
	// until is the last time at which the result is valid: then the next entry VM
	// becomes silent unless it renews.
	until time.Duration
}

// silentEntries returns the ids, in ascending order, of the registered entry VMs that
// have not renewed within freshness.LiveTimeout.
func (t *term) silentEntries(now time.Duration) []string {
	if t.silent.valid && now <= t.silent.until {
		return t.silent.ids
	}
	c := silentCache{valid: true, until: math.MaxInt64}
	for _, e := range t.config.Entries {
		liveUntil := now - t.timeSinceReport(now, e.Id) + freshness.LiveTimeout
		if now > liveUntil {
			c.ids = append(c.ids, e.Id)
			continue
		}
		c.until = min(c.until, liveUntil)
	}
	t.silent = c
	return c.ids
}

// heardFrom discards the cached result of silentEntries if it names the entry VM.
func (t *term) heardFrom(id string) {
	if _, silent := slices.BinarySearch(t.silent.ids, id); silent {
		t.silent = silentCache{}
	}
}
