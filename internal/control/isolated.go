package control

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// updateIsolated determines the list of registered entry VMs that have no way to any
// upstream.
func (t *term) updateIsolated() {
	t.isolated, t.isolatedHash = nil, 0
	for id, report := range t.reports {
		if report.isolated && t.registered(id) != nil {
			t.isolated = append(t.isolated, id)
		}
	}
	if len(t.isolated) == 0 {
		return
	}
	slices.Sort(t.isolated)
	t.isolatedHash = max(1, xxhash.Sum64String(strings.Join(t.isolated, "\x00")))
}

// nextIsolatedAt returns the earliest time at which an entry VM may be sent another
// list of the isolated ones. Changes in quick succession are sent together, like
// configurations.
func (t *term) nextIsolatedAt(id string, interval time.Duration) time.Duration {
	report := t.reports[id]
	if report == nil || report.isolatedSentAt == 0 {
		return 0
	}
	return report.isolatedSentAt + interval
}
