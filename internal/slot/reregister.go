package slot

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
)

// maxConcurrentReregistrations is the number of concurrent Reregister calls.
const maxConcurrentReregistrations = 16

// OnConfig reports the tickets and limits that this entry VM holds to the
// dispatchers of cells with a new epoch. Grants of earlier epochs that arrive
// later are not used.
func (c *Client) OnConfig(ctx context.Context, v *configview.View) {
	var reassigned []*catalogpb.Cell
	for _, cell := range v.Config.Cells {
		if cell.Entry != "" && c.grants.advanceEpoch(cellKey(cell), cell.Epoch) {
			reassigned = append(reassigned, cell)
		}
	}
	if len(reassigned) == 0 {
		return
	}
	c.wg.Go(func() { c.reregister(ctx, reassigned) })
}

// reregister calls the dispatchers of cells in rounds until each has received the
// registration or its cell has a newer epoch.
func (c *Client) reregister(ctx context.Context, cells []*catalogpb.Cell) {
	for {
		cells = c.reregisterOnce(ctx, cells)
		if len(cells) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryInterval):
		}
	}
}

// reregisterOnce runs one round. It returns the cells whose dispatchers have not
// received the registration.
func (c *Client) reregisterOnce(ctx context.Context, cells []*catalogpb.Cell) []*catalogpb.Cell {
	p := pool.NewWithResults[*catalogpb.Cell]().WithMaxGoroutines(maxConcurrentReregistrations)
	for _, cell := range cells {
		p.Go(func() *catalogpb.Cell {
			key := cellKey(cell)
			if c.grants.newestEpoch(key) != cell.Epoch || c.reregisterCell(ctx, cell, key) {
				return nil
			}
			return cell
		})
	}
	remaining := p.Wait()
	return slices.DeleteFunc(remaining, func(cell *catalogpb.Cell) bool { return cell == nil })
}

// reregisterCell reports whether the dispatcher of the cell has received the
// registration.
func (c *Client) reregisterCell(ctx context.Context, cell *catalogpb.Cell, key configview.CellKey) bool {
	tickets, limits := c.grants.registration(key)
	req := &clusterpb.ReregisterRequest{
		Entry: c.opts.Entry, Incarnation: c.opts.Incarnation, Cell: cellID(key), Epoch: cell.Epoch,
		Tickets: tickets, Limits: limits,
	}
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
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
