package slot

import (
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
)

// maxUpstreamLimits is the number of upstream limits kept. All are discarded when
// one more would exceed it; a new dispatcher then treats the upstreams as cold.
const maxUpstreamLimits = 16_384

// heldGrant is a grant that has not been released.
type heldGrant struct {
	grant    Grant
	deadline time.Time
}

// limitKey identifies an upstream of a cell.
type limitKey struct {
	cell     configview.CellKey
	upstream string
}

// grantRegistry holds what this entry VM reports to a new dispatcher of a cell:
// the unreleased grants and the last known limit of each upstream.
type grantRegistry struct {
	mu     sync.Mutex
	grants map[uint64]heldGrant
	limits map[limitKey]*clusterpb.UpstreamLimit
	// epochs holds the newest known epoch of each cell. A grant of an earlier
	// epoch that arrives later is not used.
	epochs map[configview.CellKey]uint64
}

func (reg *grantRegistry) init() {
	reg.grants = make(map[uint64]heldGrant)
	reg.limits = make(map[limitKey]*clusterpb.UpstreamLimit)
	reg.epochs = make(map[configview.CellKey]uint64)
}

// add records a grant. It reports false when a newer epoch of the cell is known.
func (reg *grantRegistry) add(g Grant, from dispatch.Grant, deadline time.Time) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.grants[g.Ticket] = heldGrant{g, deadline}
	reg.recordLimit(g, from)
	return reg.epochs[g.Cell] <= g.Epoch
}

func (reg *grantRegistry) recordLimit(g Grant, from dispatch.Grant) {
	k := limitKey{g.Cell, g.Upstream}
	old := reg.limits[k]
	if old != nil && (g.Epoch < old.Epoch || g.Epoch == old.Epoch && from.Version <= old.Version) {
		return
	}
	if old == nil && len(reg.limits) >= maxUpstreamLimits {
		clear(reg.limits)
	}
	reg.limits[k] = &clusterpb.UpstreamLimit{
		Upstream: g.Upstream, Incarnation: from.Incarnation, Limit: uint32(from.Limit),
		Epoch: g.Epoch, Version: from.Version,
	}
}

// remove deletes a grant and returns its deadline.
func (reg *grantRegistry) remove(ticket uint64) time.Time {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	g := reg.grants[ticket]
	delete(reg.grants, ticket)
	return g.deadline
}

// advanceEpoch records the epoch of a cell. It reports false when the epoch is not
// newer than the known one.
func (reg *grantRegistry) advanceEpoch(key configview.CellKey, epoch uint64) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.epochs[key] >= epoch {
		return false
	}
	reg.epochs[key] = epoch
	return true
}

// newestEpoch returns the newest known epoch of a cell.
func (reg *grantRegistry) newestEpoch(key configview.CellKey) uint64 {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.epochs[key]
}

// registration returns the tickets and limits to report to the dispatcher of a
// cell.
func (reg *grantRegistry) registration(key configview.CellKey) ([]*clusterpb.HeldTicket, []*clusterpb.UpstreamLimit) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var tickets []*clusterpb.HeldTicket
	for ticket, g := range reg.grants {
		if g.grant.Cell == key {
			tickets = append(tickets, &clusterpb.HeldTicket{
				Cell: cellID(key), Upstream: g.grant.Upstream, Epoch: g.grant.Epoch, Ticket: ticket,
				DeadlineMs: uint32(max(0, time.Until(g.deadline)).Milliseconds()) + 1,
			})
		}
	}
	var limits []*clusterpb.UpstreamLimit
	for k, l := range reg.limits {
		if k.cell == key {
			limits = append(limits, l)
		}
	}
	return tickets, limits
}
