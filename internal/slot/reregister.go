package slot

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/view"
)

// maxRegistrations bounds the re-registrations under way at once.
const maxRegistrations = 16

// OnConfig hands what this entry VM holds to the new dispatchers of cells that
// have moved. From here on grants of the old ones are not used any more.
func (c *Client) OnConfig(ctx context.Context, v *view.View) {
	var moved []*catalogpb.Cell
	for _, cell := range v.Config.Cells {
		if cell.Entry != "" && c.held.advance(keyOf(cell), cell.Epoch) {
			moved = append(moved, cell)
		}
	}
	if len(moved) == 0 {
		return
	}
	c.wg.Go(func() { c.register(ctx, moved) })
}

// register tells the dispatchers of cells what is held, in rounds, until each
// has heard or its cell has moved again.
func (c *Client) register(ctx context.Context, cells []*catalogpb.Cell) {
	for {
		cells = c.registerOnce(ctx, cells)
		if len(cells) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(resendAfter):
		}
	}
}

// registerOnce returns the cells whose dispatchers have not heard.
func (c *Client) registerOnce(ctx context.Context, cells []*catalogpb.Cell) []*catalogpb.Cell {
	p := pool.NewWithResults[*catalogpb.Cell]().WithMaxGoroutines(maxRegistrations)
	for _, cell := range cells {
		p.Go(func() *catalogpb.Cell {
			key := keyOf(cell)
			if c.held.epoch(key) != cell.Epoch || c.tryRegister(ctx, cell, key) {
				return nil
			}
			return cell
		})
	}
	left := p.Wait()
	return slices.DeleteFunc(left, func(cell *catalogpb.Cell) bool { return cell == nil })
}

func (c *Client) tryRegister(ctx context.Context, cell *catalogpb.Cell, key view.CellKey) bool {
	tickets, limits := c.held.registration(key)
	req := &clusterpb.ReregisterRequest{
		Entry: c.opts.Entry, Incarnation: c.opts.Incarnation, Cell: idOf(key), Epoch: cell.Epoch,
		Tickets: tickets, Limits: limits,
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if c.isLocal(cell) {
		return c.opts.Local.Reregister(ctx, req)
	}
	v := c.opts.View.View()
	if v == nil {
		return false
	}
	peer := c.peer(v, cell.Entry, c.opts.HTTP)
	if peer == nil {
		return false
	}
	_, err := peer.Reregister(ctx, req)
	return err == nil
}
