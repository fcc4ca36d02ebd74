package slot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatchserver"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// maxImmediateAttempts is the number of cells asked for a free slot before the
	// request joins any queue.
	maxImmediateAttempts = 2
	// crossZonePenalty is added to the expected wait at a cell in another
	// availability zone.
	crossZonePenalty = time.Millisecond
	// unavailablePenalty is the cost, for unavailablePeriod, of a cell whose
	// dispatcher refused a request for a reason other than load.
	unavailablePenalty = time.Second
	unavailablePeriod  = 200 * time.Millisecond
)

// waitEstimate is the expected wait at a cell according to its last response, which
// arrived at the time at. The cell is unavailable if its dispatcher refused for a
// reason other than load.
type waitEstimate struct {
	wait        time.Duration
	unavailable bool
	at          time.Time
}

// waitEstimates holds the latest wait estimate of each cell.
type waitEstimates struct {
	mu    sync.Mutex
	cells map[configview.CellKey]waitEstimate
}

func (e *waitEstimates) update(key configview.CellKey, a dispatchserver.AcquireResult) {
	n := waitEstimate{at: time.Now()}
	if !a.Granted {
		n.wait = max(a.Refuse.ExpectedWait, crossZonePenalty)
		n.unavailable = a.Refuse.Kind != fault.QueueFull && a.Refuse.Kind != fault.DeadlineTooShort
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cells[key] = n
}

// cost returns the expected wait at a cell, or unavailablePenalty. The estimated
// wait decreases by its age.
func (e *waitEstimates) cost(key configview.CellKey, now time.Time) time.Duration {
	e.mu.Lock()
	n := e.cells[key]
	e.mu.Unlock()
	age := now.Sub(n.at)
	if n.unavailable {
		if age < unavailablePeriod {
			return unavailablePenalty
		}
		return 0
	}
	return max(0, n.wait-age)
}

// candidates returns one cell per open availability zone. The hash selects its
// shard; zero selects one at random. The error is fault.ZoneOut when no zone with
// cells of the service is open, and fault.NoDispatcher when no cell of the shard
// has a dispatcher.
func (c *Client) candidates(v *configview.View, svc *catalogpb.Service, hash uint64) ([]*catalogpb.Cell, error) {
	if hash == 0 {
		hash = rand.Uint64()
	}
	shard := uint32(hash % uint64(max(1, svc.Shards)))
	var cells []*catalogpb.Cell
	open := false
	for _, cell := range v.Cells(svc.Name) {
		if !v.ZoneOpen(cell.Zone) {
			continue
		}
		open = true
		if cell.Shard == shard && cell.Entry != "" {
			cells = append(cells, cell)
		}
	}
	if len(cells) == 0 && !open {
		return nil, fault.New(fault.ZoneOut, "%s", svc.Name)
	}
	if len(cells) == 0 {
		return nil, fault.New(fault.NoDispatcher, "%s", svc.Name)
	}
	return cells, nil
}

// sortByExpectedWait returns cells in ascending order of expected wait, which
// includes crossZonePenalty.
func (c *Client) sortByExpectedWait(cells []*catalogpb.Cell) []*catalogpb.Cell {
	type option struct {
		cell *catalogpb.Cell
		cost time.Duration
	}
	now := time.Now()
	options := make([]option, len(cells))
	for i, cell := range cells {
		cost := c.waitEstimates.cost(cellKey(cell), now)
		if cell.Zone != c.opts.Zone {
			cost += crossZonePenalty
		}
		options[i] = option{cell, cost}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	sorted := make([]*catalogpb.Cell, len(options))
	for i, o := range options {
		sorted[i] = o.cell
	}
	return sorted
}

// immediateCandidates returns the cells to ask for a slot that is free at once.
func (c *Client) immediateCandidates(cells []*catalogpb.Cell) []*catalogpb.Cell {
	sorted := c.sortByExpectedWait(cells)
	return sorted[:min(maxImmediateAttempts, len(sorted))]
}

// refusals selects the refusal to return to the caller: the one of the highest
// priority and, among equals, the one with the shortest retry delay.
type refusals struct {
	best *fault.Error
}

func (r *refusals) add(e *fault.Error) {
	if r.best == nil || refusalPriority(e.Kind) > refusalPriority(r.best.Kind) ||
		refusalPriority(e.Kind) == refusalPriority(r.best.Kind) && e.Response().RetryAfter < r.best.Response().RetryAfter {
		r.best = e
	}
}

func (r *refusals) err() error {
	if r.best == nil {
		return fault.New(fault.NoDispatcher, "no dispatcher was asked")
	}
	return r.best
}

// refusalPriority ranks the kinds of refusals. Those about load rank above those
// about a dispatcher that did not respond.
func refusalPriority(k fault.Kind) int {
	switch k {
	case fault.QueueFull, fault.DeadlineTooShort:
		return 4
	case fault.UpstreamsPaused:
		return 3
	case fault.NoUpstream:
		return 2
	case fault.NotFresh:
		return 1
	case fault.CallerGone:
		return -1
	}
	return 0
}
