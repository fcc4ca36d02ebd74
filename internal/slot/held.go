package slot

import (
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/view"
)

// maxLimits bounds the limits that are remembered; beyond it all are forgotten,
// and a new dispatcher starts the upstreams cold.
const maxLimits = 16_384

// heldGrant is a grant in use.
type heldGrant struct {
	grant    Grant
	deadline time.Time
}

// limitKey names an upstream of a cell.
type limitKey struct {
	cell     view.CellKey
	upstream string
}

// held is what a new dispatcher must learn from this entry VM: the grants in
// use, and the last limit of each upstream.
type held struct {
	mu     sync.Mutex
	grants map[uint64]heldGrant
	limits map[limitKey]*clusterpb.UpstreamLimit
	// epochs holds the newest epoch known of each cell. Grants of an earlier
	// one are not used any more unless they are already held.
	epochs map[view.CellKey]uint64
}

func (h *held) init() {
	h.grants = make(map[uint64]heldGrant)
	h.limits = make(map[limitKey]*clusterpb.UpstreamLimit)
	h.epochs = make(map[view.CellKey]uint64)
}

// add records a grant; it reports false when its epoch has passed.
func (h *held) add(g Grant, from dispatch.Grant, deadline time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grants[g.Ticket] = heldGrant{g, deadline}
	h.learn(g, from)
	return h.epochs[g.Cell] <= g.Epoch
}

func (h *held) learn(g Grant, from dispatch.Grant) {
	k := limitKey{g.Cell, g.Upstream}
	old := h.limits[k]
	if old != nil && (g.Epoch < old.Epoch || g.Epoch == old.Epoch && from.Version <= old.Version) {
		return
	}
	if old == nil && len(h.limits) >= maxLimits {
		clear(h.limits)
	}
	h.limits[k] = &clusterpb.UpstreamLimit{
		Upstream: g.Upstream, Incarnation: from.Incarnation, Limit: uint32(from.Limit),
		Epoch: g.Epoch, Version: from.Version,
	}
}

// remove forgets a grant and returns its deadline.
func (h *held) remove(ticket uint64) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.grants[ticket]
	delete(h.grants, ticket)
	return g.deadline
}

// advance notes the epoch of a cell; it reports false when it is not newer.
func (h *held) advance(key view.CellKey, epoch uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epochs[key] >= epoch {
		return false
	}
	h.epochs[key] = epoch
	return true
}

// epoch returns the newest epoch known of a cell.
func (h *held) epoch(key view.CellKey) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epochs[key]
}

// registration returns what the dispatcher of a cell must learn.
func (h *held) registration(key view.CellKey) ([]*clusterpb.HeldTicket, []*clusterpb.UpstreamLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var tickets []*clusterpb.HeldTicket
	for ticket, g := range h.grants {
		if g.grant.Cell == key {
			tickets = append(tickets, &clusterpb.HeldTicket{
				Cell: idOf(key), Upstream: g.grant.Upstream, Epoch: g.grant.Epoch, Ticket: ticket,
				DeadlineMs: uint32(max(0, time.Until(g.deadline)).Milliseconds()) + 1,
			})
		}
	}
	var limits []*clusterpb.UpstreamLimit
	for k, l := range h.limits {
		if k.cell == key {
			limits = append(limits, l)
		}
	}
	return tickets, limits
}
