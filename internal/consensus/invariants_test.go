package consensus

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// invariantChecker checks a running group against the list of entries committed
// so far: all replicas commit the same entries, a term has at most one leader,
// and a read returns a state at least as new as what had been committed when it
// began.
type invariantChecker struct {
	entries   []*clusterpb.LogEntry
	hashes    []uint64
	leaders   map[uint64]uint64
	readStart map[uint64]uint64
	// violation describes the first violation found.
	violation string
	// servedReads and membershipChanges count what a run has covered.
	servedReads, membershipChanges int
}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{leaders: map[uint64]uint64{}, readStart: map[uint64]uint64{}}
}

func (c *invariantChecker) failf(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// checkCommitted checks an entry that a replica applies.
func (c *invariantChecker) checkCommitted(n *simNode, e *clusterpb.LogEntry) {
	i := e.GetIndex()
	last := uint64(len(c.entries))
	switch {
	case i > last+1:
		c.failf("replica %d commits index %d, but the last committed index is %d", n.id, i, last)
	case i == last+1:
		c.entries = append(c.entries, e)
		c.hashes = append(c.hashes, n.stateHash)
		if e.GetMembers() != nil {
			c.membershipChanges++
		}
	case !proto.Equal(c.entries[i-1], e) || c.hashes[i-1] != n.stateHash:
		c.failf("replica %d commits an entry or state at index %d that differs from the one committed before", n.id, i)
	}
}

// checkRestored checks a state machine that was restored from a snapshot.
func (c *invariantChecker) checkRestored(n *simNode) {
	if n.applied > uint64(len(c.hashes)) || c.hashes[n.applied-1] != n.stateHash {
		c.failf("replica %d restores a state at index %d that differs from the committed one", n.id, n.applied)
	}
}

func (c *invariantChecker) startRead(id uint64) { c.readStart[id] = uint64(len(c.entries)) }

func (c *invariantChecker) checkReads(n *simNode, a Actions) {
	for _, r := range a.ReadResults {
		if r.Fault != "" {
			continue
		}
		c.servedReads++
		if r.Index < c.readStart[r.ID] || n.applied < r.Index {
			c.failf("replica %d serves a read at index %d, want one that it has applied and at least %d", n.id, r.Index, c.readStart[r.ID])
		}
	}
}

// checkLeader checks that a term has at most one leader.
func (c *invariantChecker) checkLeader(n *simNode) {
	if n.r.role != Leader {
		return
	}
	if other := c.leaders[n.r.term]; other != 0 && other != n.id {
		c.failf("replicas %d and %d both lead in term %d", other, n.id, n.r.term)
	}
	c.leaders[n.r.term] = n.id
}

// checkLogs checks that two logs with an entry of the same index and term also
// agree on all entries before it.
func (c *invariantChecker) checkLogs(nodes []*simNode) {
	for i, a := range nodes {
		for _, b := range nodes[i+1:] {
			c.checkLogPair(a, b)
		}
	}
}

func (c *invariantChecker) checkLogPair(a, b *simNode) {
	matched := false
	low := max(a.r.log.baseIndex, b.r.log.baseIndex)
	for i := min(a.r.log.lastIndex(), b.r.log.lastIndex()); i > low; i-- {
		x, y := a.r.log.slice(i, i)[0], b.r.log.slice(i, i)[0]
		if x.GetTerm() == y.GetTerm() && !proto.Equal(x, y) {
			c.failf("replicas %d and %d hold different entries at index %d in term %d", a.id, b.id, i, x.GetTerm())
		}
		if matched && x.GetTerm() != y.GetTerm() {
			c.failf("logs of replicas %d and %d differ at index %d although a later entry matches", a.id, b.id, i)
		}
		matched = matched || x.GetTerm() == y.GetTerm()
	}
}
