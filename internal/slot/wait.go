package slot

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/view"
)

// A request that waits in one queue asks other cells without waiting, first
// after firstPoll and then at intervals that double up to lastPoll.
const (
	firstPoll = 20 * time.Millisecond
	lastPoll  = 160 * time.Millisecond
)

// queued is the end of a wait in a queue.
type queued struct {
	grant   Grant
	refused *fault.Error
}

// wait queues at one cell and meanwhile looks for a free slot in the others.
func (c *Client) wait(ctx context.Context, v *view.View, at *catalogpb.Cell, cells []*catalogpb.Cell, r Request) (Grant, *fault.Error) {
	left := time.Until(r.Deadline)
	if len(cells) == 1 {
		return c.askCell(ctx, v, at, r, left)
	}
	queueCtx, leave := context.WithCancel(ctx)
	end := make(chan queued, 1)
	var wg conc.WaitGroup
	wg.Go(func() {
		g, refused := c.askCell(queueCtx, v, at, r, left)
		end <- queued{g, refused}
	})
	defer wg.Wait()
	defer leave()
	interval := firstPoll
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for next := 0; ; next++ {
		select {
		case q := <-end:
			return q.grant, q.refused
		case <-timer.C:
		}
		if g, ok := c.poll(ctx, v, at, cells, r, next); ok {
			leave()
			c.giveBack(<-end)
			return g, nil
		}
		interval = min(2*interval, lastPoll)
		timer.Reset(interval)
	}
}

// poll asks the next of the other cells for a slot without waiting.
func (c *Client) poll(ctx context.Context, v *view.View, at *catalogpb.Cell, cells []*catalogpb.Cell, r Request, next int) (Grant, bool) {
	sorted := c.byWait(cells)
	cell := sorted[next%len(sorted)]
	if cell == at {
		cell = sorted[(next+1)%len(sorted)]
	}
	g, refused := c.askCell(ctx, v, cell, r, 0)
	return g, refused == nil
}

// giveBack returns a slot that is not needed.
func (c *Client) giveBack(q queued) {
	if q.refused == nil {
		c.Release(q.grant, Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
	}
}
