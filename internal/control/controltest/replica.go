// Package controltest provides an in-memory replacement of the replicated log
// for tests.
package controltest

import (
	"context"
	"sync"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// Log is an in-memory log, shared by replicas in one process, that commits
// every command immediately.
type Log struct {
	mu          sync.Mutex
	index       uint64
	term        uint64
	leader      *Replica
	leaderSince time.Time
	replicas    []*Replica
}

// Replica is one replica of a Log. It implements control.Replica.
type Replica struct {
	log     *Log
	id      uint64
	address string
	machine control.StateMachine
	// quorumLostAt is the time at which the replica lost its quorum; zero if it
	// has one.
	quorumLostAt time.Time
	// behind is set while the replica does not know what was committed before it
	// started.
	behind bool
	// features is what the replica has stated to support; silent is set if it has stated
	// nothing to the present leader.
	features features.Set
	silent   bool
}

// Add adds a replica at the address. The first replica becomes leader.
func (l *Log) Add(address string, machine control.StateMachine) *Replica {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Replica{log: l, id: uint64(len(l.replicas) + 1), address: address, machine: machine, features: features.Supported}
	l.replicas = append(l.replicas, r)
	if l.leader == nil {
		l.setLeaderLocked(r)
	}
	return r
}

func (l *Log) setLeaderLocked(r *Replica) {
	l.term++
	l.leader = r
	l.leaderSince = time.Now()
}

// SetLeader makes r the leader of a new term.
func (l *Log) SetLeader(r *Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLeaderLocked(r)
}

// SetBehind sets whether the replica has just started and does not know yet what was
// committed before. It then has no leader.
func (r *Replica) SetBehind(behind bool) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.behind = behind
}

// Silence makes the replica one that has stated nothing since the leader has started.
func (r *Replica) Silence() {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.silent = true
}

// SetFeatures sets what the replica has stated to support.
func (r *Replica) SetFeatures(supported features.Set) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.features, r.silent = supported, false
}

// LoseQuorum cuts every replica off from its quorum. The leader keeps its role.
func (l *Log) LoseQuorum() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.replicas {
		r.quorumLostAt = time.Now()
	}
}

// Propose commits data and applies it on every replica. Without a quorum it
// blocks until ctx ends.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	if err := r.awaitQuorum(ctx); err != nil {
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

// ConfirmedRead returns the index of the last command. Without a quorum it
// blocks until ctx ends.
func (r *Replica) ConfirmedRead(ctx context.Context) (uint64, error) {
	if err := r.awaitQuorum(ctx); err != nil {
		return 0, err
	}
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	return r.log.index, nil
}

// awaitQuorum fails unless the replica leads. Without a quorum it blocks until
// ctx ends.
func (r *Replica) awaitQuorum(ctx context.Context) error {
	r.log.mu.Lock()
	leads, quorumLost := r.log.leader == r, !r.quorumLostAt.IsZero()
	r.log.mu.Unlock()
	if !leads {
		return fault.New(fault.NotLeader, "this replica does not lead")
	}
	if quorumLost {
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
		CommitIndex:   l.index,
		CaughtUp:      !r.behind,
		LeaderSince:   l.leaderSince,
		LastQuorum:    time.Now(),
	}
	if !r.quorumLostAt.IsZero() {
		st.LastQuorum = r.quorumLostAt
	}
	for _, each := range l.replicas {
		member := &catalogpb.ControlMember{ReplicaId: each.id, Address: each.address}
		st.Members = append(st.Members, control.Member{Member: member, MatchIndex: l.index, Live: true, Features: each.features, StatedFeatures: !each.silent})
	}
	return st
}
