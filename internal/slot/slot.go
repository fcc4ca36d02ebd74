// Package slot acquires and releases slots of upstreams. A slot is the right to
// have one request in flight at an upstream. Slots are granted by the dispatcher of
// the upstream's cell, which may run in another entry VM.
package slot

import (
	"context"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// Request asks for a slot at an upstream of a service.
type Request struct {
	Service string
	// Deadline is the deadline of the caller's request; zero means none.
	Deadline time.Time
	// Avoid lists the ids of upstreams whose slots must not be granted.
	Avoid []string
	// Repeatable is set if the request may be sent to upstreams more than once.
	Repeatable bool
	// NoWait asks only for a slot that is free at once. Such a request joins no
	// queue, so that it hardly delays others.
	NoWait bool
	// ShardHash selects the shard of the service; zero selects one at random.
	ShardHash uint64
}

// Grant is the right to send one request to one upstream.
type Grant struct {
	Cell  configview.CellKey
	Epoch uint64
	// Ticket is the id of the request. It identifies the grant within the client's
	// process.
	Ticket   uint64
	Upstream string
	// Incarnation is the incarnation number of the upstream's process.
	Incarnation uint64
	// Address is the host and port of the upstream.
	Address string
	// Dispatcher is the id of the entry VM that granted the slot.
	Dispatcher string
}

// Result describes how a granted request ended.
type Result struct {
	Outcome       clusterpb.Outcome
	ServiceTime   time.Duration
	NewConnection bool
	// Notice is what the upstream has said of itself.
	Notice notice.Notice
}

// Allocator grants slots. Acquire returns a *fault.Error when it cannot get a slot.
// Each grant must be released exactly once. Release does not block.
type Allocator interface {
	Acquire(ctx context.Context, r Request) (Grant, error)
	Release(g Grant, r Result)
}
