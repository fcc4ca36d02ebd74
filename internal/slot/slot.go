// Package slot grants upstream slots to calls.
package slot

import (
	"context"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/view"
)

// Request asks for a slot at an upstream of a service.
type Request struct {
	Service string
	// Deadline is the caller's deadline.
	Deadline time.Time
	// Avoid lists the ids of upstreams that must not be granted.
	Avoid []string
	// Repeatable is set when the request may be sent more than once.
	Repeatable bool
	// NoWait asks for a slot that is free at once, at a small cost to others.
	NoWait bool
	// ShardHash selects a shard of the service; zero selects one at random.
	ShardHash uint64
}

// Grant is the right to send one request to one upstream.
type Grant struct {
	Cell     view.CellKey
	Epoch    uint64
	Ticket   uint64
	Upstream string
	// Incarnation is that of the upstream's process.
	Incarnation uint64
	// Address is the host and port of the upstream.
	Address string
	// Dispatcher is the entry VM that gave the grant.
	Dispatcher string
}

// Result says how a granted request ended.
type Result struct {
	Outcome       clusterpb.Outcome
	ServiceTime   time.Duration
	NewConnection bool
}

// Allocator grants slots. Acquire returns a *fault.Error when no slot can be had.
// Each grant is released exactly once; Release does not block.
type Allocator interface {
	Acquire(ctx context.Context, r Request) (Grant, error)
	Release(g Grant, r Result)
}
