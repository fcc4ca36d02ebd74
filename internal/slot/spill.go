package slot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/dispatcher"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/view"
)

const (
	// quickAsks is the number of cells asked without waiting.
	quickAsks = 2
	// farCost is what a cell in another availability zone costs more.
	farCost = time.Millisecond
	// downCost and downFor keep requests away from a cell whose dispatcher
	// gave no slot for another reason than load.
	downCost = time.Second
	downFor  = 200 * time.Millisecond
)

// hint is what the last answer of a cell said of its room.
type hint struct {
	wait time.Duration
	down bool
	at   time.Time
}

// hints remembers the room of cells.
type hints struct {
	mu    sync.Mutex
	cells map[view.CellKey]hint
}

func (h *hints) update(key view.CellKey, a dispatcher.AcquireResult) {
	n := hint{at: time.Now()}
	if !a.Granted {
		n.wait = max(a.Refuse.ExpectedWait, farCost)
		n.down = a.Refuse.Kind != fault.QueueFull && a.Refuse.Kind != fault.DeadlineTooShort
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cells[key] = n
}

// cost returns the expected wait at a cell.
func (h *hints) cost(key view.CellKey, now time.Time) time.Duration {
	h.mu.Lock()
	n := h.cells[key]
	h.mu.Unlock()
	age := now.Sub(n.at)
	if n.down {
		if age < downFor {
			return downCost
		}
		return 0
	}
	return max(0, n.wait-age)
}

// candidates returns one cell per open availability zone: the shards of a zone
// share its requests by hash, or at random without one.
func (c *Client) candidates(v *view.View, svc *catalogpb.Service, hash uint64) ([]*catalogpb.Cell, error) {
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

// byWait returns cells in order of expected wait, nearer ones first.
func (c *Client) byWait(cells []*catalogpb.Cell) []*catalogpb.Cell {
	type option struct {
		cell *catalogpb.Cell
		cost time.Duration
	}
	now := time.Now()
	options := make([]option, len(cells))
	for i, cell := range cells {
		cost := c.hints.cost(keyOf(cell), now)
		if cell.Zone != c.opts.Zone {
			cost += farCost
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

// quick returns the cells worth asking without waiting.
func (c *Client) quick(cells []*catalogpb.Cell) []*catalogpb.Cell {
	sorted := c.byWait(cells)
	return sorted[:min(quickAsks, len(sorted))]
}

// refusals keeps the refusal to pass on: the one that asks to come back first,
// and one about load before one about a dispatcher that did not answer.
type refusals struct {
	best *fault.Error
}

func (r *refusals) add(e *fault.Error) {
	if r.best == nil || rank(e.Kind) > rank(r.best.Kind) ||
		rank(e.Kind) == rank(r.best.Kind) && e.Answer().RetryAfter < r.best.Answer().RetryAfter {
		r.best = e
	}
}

func (r *refusals) err() error {
	if r.best == nil {
		return fault.New(fault.NoDispatcher, "no dispatcher was asked")
	}
	return r.best
}

func rank(k fault.Kind) int {
	switch k {
	case fault.QueueFull, fault.DeadlineTooShort:
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
