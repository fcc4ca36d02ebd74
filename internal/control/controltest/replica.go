// Package controltest stands in for the replicated log in tests.
package controltest

import (
	"context"
	"sync"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Log is a log that commits at once, shared by replicas in one process.
type Log struct {
	mu       sync.Mutex
	index    uint64
	term     uint64
	leader   *Replica
	since    time.Time
	replicas []*Replica
}

// Replica is one view of the log.
type Replica struct {
	log     *Log
	id      uint64
	address string
	machine control.StateMachine
	// cutAt is the time since which the replica hears nobody.
	cutAt time.Time
}

// Add adds a replica at the address. The first one leads.
func (l *Log) Add(address string, machine control.StateMachine) *Replica {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Replica{log: l, id: uint64(len(l.replicas) + 1), address: address, machine: machine}
	l.replicas = append(l.replicas, r)
	if l.leader == nil {
		l.lead(r)
	}
	return r
}

func (l *Log) lead(r *Replica) {
	l.term++
	l.leader = r
	l.since = time.Now()
}

// SetLeader makes r the leader of a new term.
func (l *Log) SetLeader(r *Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lead(r)
}

// LoseQuorum takes every replica's quorum away.
func (l *Log) LoseQuorum() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.replicas {
		r.cutAt = time.Now()
	}
}

// Propose commits data and applies it everywhere.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	if err := r.reach(ctx); err != nil {
		return nil, 0, err
	}
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	var result any
	for _, each := range l.replicas {
		applied := each.machine.Apply(l.index, data)
		if each == r {
			result = applied
		}
	}
	return result, l.index, nil
}

// ConfirmedRead returns the index of the last entry.
func (r *Replica) ConfirmedRead(ctx context.Context) (uint64, error) {
	if err := r.reach(ctx); err != nil {
		return 0, err
	}
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	return r.log.index, nil
}

// reach blocks a replica without a quorum until ctx ends.
func (r *Replica) reach(ctx context.Context) error {
	r.log.mu.Lock()
	leads, cut := r.log.leader == r, !r.cutAt.IsZero()
	r.log.mu.Unlock()
	if !leads {
		return fault.New(fault.NotLeader, "another replica leads")
	}
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Status returns the state of the replica.
func (r *Replica) Status() control.Status {
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	st := control.Status{
		ReplicaID:     r.id,
		LeaderID:      l.leader.id,
		LeaderAddress: l.leader.address,
		IsLeader:      l.leader == r,
		Term:          l.term,
		Commit:        l.index,
		LeaderSince:   l.since,
		LastQuorum:    time.Now(),
	}
	if !r.cutAt.IsZero() {
		st.LastQuorum = r.cutAt
	}
	for _, each := range l.replicas {
		member := &catalogpb.ControlMember{ReplicaId: each.id, Address: each.address}
		st.Members = append(st.Members, control.Member{Member: member, Match: l.index, Live: true})
	}
	return st
}
