package slot

import (
	"context"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/view"
)

// rejoinAfter is the time after which a request that waits elsewhere asks a
// cell again that had no upstream or no dispatcher.
const rejoinAfter = 100 * time.Millisecond

// place is a place in the queue of one cell.
type place struct {
	cell  *catalogpb.Cell
	offer offer
	// open is set while the end of the wait is not known.
	open bool
	// rejoin is set while the cell is to be asked again.
	rejoin bool
}

// queued is the end of a wait in one queue.
type queued struct {
	place   int
	grant   Grant
	refused *fault.Error
}

// waiting is a request in the queues of several cells.
type waiting struct {
	c      *Client
	v      *view.View
	r      Request
	places []place
	ends   chan queued
	// open is the number of places whose end is not known.
	open int
}

// wait joins the queues of the nearest cells. The first slot is taken and the
// other places are given up. Refusals are added to last.
func (c *Client) wait(ctx context.Context, v *view.View, cells []*catalogpb.Cell, r Request, last *refusals) (Grant, bool) {
	cells = c.byWait(cells)
	cells = cells[:min(maxQueues, len(cells))]
	w := &waiting{c: c, v: v, r: r, places: make([]place, len(cells)), ends: make(chan queued, len(cells))}
	for i, cell := range cells {
		w.places[i].cell = cell
		w.join(ctx, i)
	}
	retry := time.NewTicker(rejoinAfter)
	defer retry.Stop()
	for w.open > 0 {
		select {
		case q := <-w.ends:
			w.open--
			w.places[q.place].open = false
			if q.refused == nil {
				w.leave(q.place)
				return q.grant, true
			}
			last.add(q.refused)
			w.places[q.place].rejoin = mayRejoin(q.refused.Kind)
		case <-retry.C:
			w.rejoin(ctx)
		}
	}
	return Grant{}, false
}

func mayRejoin(k fault.Kind) bool { return k == fault.NoUpstream || k == fault.NoDispatcher }

// join enters the queue of one cell.
func (w *waiting) join(ctx context.Context, i int) {
	p := &w.places[i]
	p.open, p.rejoin = true, false
	p.offer = offer{
		id: w.c.nextID.Add(1), deadline: w.r.Deadline, wait: time.Until(w.r.Deadline),
		avoid: w.r.Avoid, queues: len(w.places),
	}
	w.open++
	cell, o := p.cell, p.offer
	w.c.wg.Go(func() {
		g, refused := w.c.askCell(ctx, w.v, cell, o)
		w.ends <- queued{i, g, refused}
	})
}

// rejoin asks cells again that were not able to queue the request.
func (w *waiting) rejoin(ctx context.Context) {
	for i := range w.places {
		if w.places[i].rejoin && ctx.Err() == nil {
			w.join(ctx, i)
		}
	}
}

// leave gives up the places in the queues of all cells but one. Slots that are
// granted all the same are returned.
func (w *waiting) leave(taken int) {
	for i, p := range w.places {
		if i == taken || !p.open {
			continue
		}
		w.c.outbox.put(w.c, release{
			cell: keyOf(p.cell), epoch: p.cell.Epoch, ticket: p.offer.id, until: p.offer.deadline,
			result: Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED},
		})
	}
	if w.open > 0 {
		w.c.wg.Go(w.giveBack)
	}
}

func (w *waiting) giveBack() {
	for ; w.open > 0; w.open-- {
		if q := <-w.ends; q.refused == nil {
			w.c.Release(q.grant, Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
		}
	}
}
