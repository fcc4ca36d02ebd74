package slot

import (
	"context"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// rejoinInterval is the interval at which a request that waits at other cells asks
// again the cells that had no upstream or no dispatcher.
const rejoinInterval = 100 * time.Millisecond

// queuePosition is the place of a request in the queue of one cell.
type queuePosition struct {
	cell    *catalogpb.Cell
	request cellRequest
	// pending is set until the cell grants or refuses the request.
	pending bool
	// rejoin is set when the cell is to be asked again.
	rejoin bool
}

// queueResult is the result of waiting in one queue: a grant or a refusal.
type queueResult struct {
	position int
	grant    Grant
	refused  *fault.Error
}

// queueWait is a request that waits in the queues of several cells.
type queueWait struct {
	c         *Client
	v         *configview.View
	r         Request
	positions []queuePosition
	results   chan queueResult
	// pending is the number of positions that are pending.
	pending int
}

// wait joins the queues of the cells with the shortest expected wait. It returns
// the first slot granted and cancels the request at the other cells. It reports
// false when all have refused. Refusals are added to seen.
func (c *Client) wait(ctx context.Context, v *configview.View, cells []*catalogpb.Cell, r Request, seen *refusals) (Grant, bool) {
	cells = c.sortByExpectedWait(cells)
	cells = cells[:min(maxQueuesPerRequest, len(cells))]
	w := &queueWait{c: c, v: v, r: r, positions: make([]queuePosition, len(cells)), results: make(chan queueResult, len(cells))}
	for i, cell := range cells {
		w.positions[i].cell = cell
		w.join(ctx, i)
	}
	retry := time.NewTicker(rejoinInterval)
	defer retry.Stop()
	for w.pending > 0 {
		select {
		case q := <-w.results:
			w.pending--
			w.positions[q.position].pending = false
			if q.refused == nil {
				w.cancelOthers(q.position)
				return q.grant, true
			}
			seen.add(q.refused)
			w.positions[q.position].rejoin = shouldRejoin(q.refused.Kind)
		case <-retry.C:
			w.rejoin(ctx)
		}
	}
	return Grant{}, false
}

func shouldRejoin(k fault.Kind) bool { return k == fault.NoUpstream || k == fault.NoDispatcher }

// join sends the request to the cell at position i in a goroutine of its own.
func (w *queueWait) join(ctx context.Context, i int) {
	p := &w.positions[i]
	p.pending, p.rejoin = true, false
	p.request = cellRequest{
		id: w.c.nextID.Add(1), deadline: w.r.Deadline, wait: time.Until(w.r.Deadline),
		avoid: w.r.Avoid, queues: len(w.positions),
	}
	w.pending++
	cell, req := p.cell, p.request
	w.c.wg.Go(func() {
		g, refused := w.c.acquireFromCell(ctx, w.v, cell, req)
		w.results <- queueResult{i, g, refused}
	})
}

// rejoin repeats the request at the cells that had no upstream or no dispatcher.
func (w *queueWait) rejoin(ctx context.Context) {
	for i := range w.positions {
		if w.positions[i].rejoin && ctx.Err() == nil {
			w.join(ctx, i)
		}
	}
}

// cancelOthers cancels the request in the queues of all cells but the one at
// position taken. Slots that they grant before they are told are released.
func (w *queueWait) cancelOthers(taken int) {
	for i, p := range w.positions {
		if i == taken || !p.pending {
			continue
		}
		w.c.outbox.deliver(w.c, release{
			cell: cellKey(p.cell), epoch: p.cell.Epoch, ticket: p.request.id, deadline: p.request.deadline,
			result: Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED},
		})
	}
	if w.pending > 0 {
		w.c.wg.Go(w.releaseLateGrants)
	}
}

// releaseLateGrants awaits the results of the pending positions and releases
// their grants unused.
func (w *queueWait) releaseLateGrants() {
	for ; w.pending > 0; w.pending-- {
		if q := <-w.results; q.refused == nil {
			w.c.Release(q.grant, Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
		}
	}
}
