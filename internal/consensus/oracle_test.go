package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// oracle is one list of committed entries. Every replica must commit the same
// list, no term may have two leaders, and no confirmed read may be older than
// the list was when the read began.
type oracle struct {
	entries []*clusterpb.LogEntry
	hashes  []uint64
	leaders map[uint64]uint64
	reads   map[uint64]uint64
	fault   string
	// reached counts what the runs have covered.
	served, changes int
}

func newOracle() *oracle {
	return &oracle{leaders: map[uint64]uint64{}, reads: map[uint64]uint64{}}
}

func (o *oracle) failf(format string, args ...any) {
	if o.fault == "" {
		o.fault = fmt.Sprintf(format, args...)
	}
}

// committed checks an entry that a replica applies.
func (o *oracle) committed(n *simNode, e *clusterpb.LogEntry) {
	i := e.GetIndex()
	last := uint64(len(o.entries))
	switch {
	case i > last+1:
		o.failf("replica %d commits %d after %d", n.id, i, last)
	case i == last+1:
		o.entries = append(o.entries, e)
		o.hashes = append(o.hashes, n.hash)
		if e.GetMembers() != nil {
			o.changes++
		}
	case !proto.Equal(o.entries[i-1], e) || o.hashes[i-1] != n.hash:
		o.failf("replica %d commits another entry at %d", n.id, i)
	}
}

// restored checks a state machine that was replaced by a snapshot.
func (o *oracle) restored(n *simNode) {
	if n.applied > uint64(len(o.hashes)) || o.hashes[n.applied-1] != n.hash {
		o.failf("replica %d restores another state at %d", n.id, n.applied)
	}
}

func (o *oracle) readBegins(id uint64) { o.reads[id] = uint64(len(o.entries)) }

func (o *oracle) results(n *simNode, a Actions) {
	for _, r := range a.ReadResults {
		if r.Fault != "" {
			continue
		}
		o.served++
		if r.Index < o.reads[r.ID] || n.applied < r.Index {
			o.failf("replica %d serves a read at %d that began at %d", n.id, r.Index, o.reads[r.ID])
		}
	}
}

// observe checks that a term has one leader.
func (o *oracle) observe(n *simNode) {
	if n.r.role != Leader {
		return
	}
	if other := o.leaders[n.r.term]; other != 0 && other != n.id {
		o.failf("replicas %d and %d lead in term %d", other, n.id, n.r.term)
	}
	o.leaders[n.r.term] = n.id
}

// matchLogs checks that two logs that agree on an entry agree on all before.
func (o *oracle) matchLogs(nodes []*simNode) {
	for i, a := range nodes {
		for _, b := range nodes[i+1:] {
			o.matchPair(a, b)
		}
	}
}

func (o *oracle) matchPair(a, b *simNode) {
	matched := false
	low := max(a.r.log.baseIndex, b.r.log.baseIndex)
	for i := min(a.r.log.last(), b.r.log.last()); i > low; i-- {
		x, y := a.r.log.slice(i, i)[0], b.r.log.slice(i, i)[0]
		if x.GetTerm() == y.GetTerm() && !proto.Equal(x, y) {
			o.failf("replicas %d and %d hold two entries %d of term %d", a.id, b.id, i, x.GetTerm())
		}
		if matched && x.GetTerm() != y.GetTerm() {
			o.failf("logs of %d and %d differ at %d below a match", a.id, b.id, i)
		}
		matched = matched || x.GetTerm() == y.GetTerm()
	}
}
