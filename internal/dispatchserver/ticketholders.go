package dispatchserver

import (
	"time"

	"balsamcourse.example/balsamcourse/internal/configview"
)

// lostEntryRetention is the time for which an entry VM that was removed without
// a planned stop still counts as a possible holder of tickets.
const lostEntryRetention = time.Minute

// ticketHolders tracks the entry VMs that may hold tickets of a cell. A new
// dispatcher of the cell has to learn of these tickets before it grants slots.
type ticketHolders struct {
	lastView *configview.View
	// lostAt maps each entry VM that left without a planned stop to the time at
	// which its absence was noticed.
	lostAt map[string]time.Duration
}

func newTicketHolders() ticketHolders { return ticketHolders{lostAt: make(map[string]time.Duration)} }

// update compares v with the previous view. An entry VM that left as planned has
// ended its calls and holds no tickets.
func (h *ticketHolders) update(v *configview.View, now time.Duration) {
	if h.lastView != nil {
		for _, e := range h.lastView.Config.Entries {
			if v.Entry(e.Id) == nil && !e.Leaving {
				h.lostAt[e.Id] = now
			}
		}
	}
	for id, at := range h.lostAt {
		if now-at > lostEntryRetention || v.Entry(id) != nil {
			delete(h.lostAt, id)
		}
	}
	h.lastView = v
}

// list returns the entry VMs that may hold tickets.
func (h *ticketHolders) list(v *configview.View) []string {
	var ids []string
	for _, e := range v.Config.Entries {
		ids = append(ids, e.Id)
	}
	for id := range h.lostAt {
		ids = append(ids, id)
	}
	return ids
}
