package dispatcher

import (
	"time"

	"balsamcourse.example/balsamcourse/internal/view"
)

// lostFor is the time for which an entry VM that was removed without a planned
// stop counts among those that may hold tickets.
const lostFor = time.Minute

// holders tracks the entry VMs whose tickets a new dispatcher must know of.
type holders struct {
	last *view.View
	// lost holds the time at which an entry VM was seen to be gone.
	lost map[string]time.Duration
}

func newHolders() holders { return holders{lost: make(map[string]time.Duration)} }

// update compares v with the view before it. An entry VM that left as planned
// has ended its calls and holds nothing.
func (h *holders) update(v *view.View, now time.Duration) {
	if h.last != nil {
		for _, e := range h.last.Config.Entries {
			if v.Entry(e.Id) == nil && !e.Leaving {
				h.lost[e.Id] = now
			}
		}
	}
	for id, at := range h.lost {
		if now-at > lostFor || v.Entry(id) != nil {
			delete(h.lost, id)
		}
	}
	h.last = v
}

// list returns the entry VMs that may hold tickets.
func (h *holders) list(v *view.View) []string {
	var ids []string
	for _, e := range v.Config.Entries {
		ids = append(ids, e.Id)
	}
	for id := range h.lost {
		ids = append(ids, id)
	}
	return ids
}
