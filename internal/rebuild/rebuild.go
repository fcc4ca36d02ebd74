// Package rebuild makes a new control group of one replica out of a replica
// that has outlived its quorum.
//
// The new group starts from the configuration of the replica's log, or from the
// newest one that an entry VM holds when the log does not lead through it, at a log index and a term beyond any that the old group
// can have reached. It therefore never takes back an accepted change, as long
// as a majority of the entry VMs was asked, and every entry VM adopts it.
package rebuild

import (
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// indexGap lies between the newest known log index and the new group's.
	indexGap = 1_000_000
	// termGap lies between the newest known term and the new group's.
	termGap = 1_000
)

// LogState is what a replica's log holds.
type LogState struct {
	ReplicaID uint64
	DiskID    uint64
	Term      uint64
	LastIndex uint64
	Members   []*catalogpb.ControlMember
	catalog   *catalog.Catalog
	// chain holds the configurations that the log leads through, oldest first.
	chain []*catalogpb.Config
}

// Read returns what the log record of replica id holds. Changes that may not
// have been committed count: their outcome was never reported as refused.
func Read(id uint64, rec *clusterpb.LogRecord) (*LogState, error) {
	snap := rec.GetSnapshot()
	s := &LogState{
		ReplicaID: id,
		DiskID:    rec.GetDiskId(),
		Term:      max(rec.GetState().GetTerm(), rec.GetBaseTerm(), snap.GetTerm()),
		LastIndex: max(rec.GetBaseIndex(), snap.GetIndex()),
		Members:   snap.GetMembers().GetMembers(),
		catalog:   catalog.New(),
	}
	if data := snap.GetData(); len(data) > 0 {
		if err := s.catalog.Restore(data); err != nil {
			return nil, errors.Trace(err)
		}
	}
	s.chain = []*catalogpb.Config{s.Config()}
	for _, e := range rec.GetEntries() {
		if e.GetIndex() > snap.GetIndex() {
			s.add(e)
		}
	}
	return s, nil
}

func (s *LogState) add(e *clusterpb.LogEntry) {
	s.LastIndex = e.GetIndex()
	s.Term = max(s.Term, e.GetTerm())
	if m := e.GetMembers(); m != nil {
		s.Members = m.GetMembers()
	}
	s.catalog.Apply(e.GetIndex(), e.GetData())
	s.chain = append(s.chain, s.Config())
}

// Config returns the newest configuration in the log.
func (s *LogState) Config() *catalogpb.Config { return s.catalog.Config() }

// OtherMembers returns the ids of the other members in ascending order.
func (s *LogState) OtherMembers() []uint64 {
	var ids []uint64
	for _, m := range s.Members {
		if m.GetReplicaId() != s.ReplicaID {
			ids = append(ids, m.GetReplicaId())
		}
	}
	slices.Sort(ids)
	return ids
}

// CheckRemoved returns an error unless removed names exactly the other members
// and this replica is a voter.
func (s *LogState) CheckRemoved(removed []uint64) error {
	self := s.self()
	if self == nil || self.GetLearner() {
		return fault.New(fault.InvalidChange, "replica %d is no voter of its group", s.ReplicaID)
	}
	given := slices.Sorted(slices.Values(removed))
	if !slices.Equal(given, s.OtherMembers()) {
		return fault.New(fault.InvalidChange, "the other members are %v, not %v", s.OtherMembers(), given)
	}
	return nil
}

func (s *LogState) self() *catalogpb.ControlMember {
	for _, m := range s.Members {
		if m.GetReplicaId() == s.ReplicaID {
			return m
		}
	}
	return nil
}

// choose returns the configuration for the new group, where held is the newest
// one that an entry VM holds; nil when none answered. The end of the log may be
// a branch that never was committed, of a leader that was cut off: it counts
// only if the log leads through what the entry VMs hold.
func (s *LogState) choose(held *catalogpb.Config) *catalogpb.Config {
	if held == nil || held.GetRevision() < s.chain[0].GetRevision() {
		return s.Config()
	}
	for _, c := range s.chain {
		if c.GetRevision() == held.GetRevision() && proto.Equal(c, held) {
			return s.Config()
		}
	}
	return held
}

// NewGroupLog returns the log of the new group, in which this replica is the only
// member. In force is what its log holds, or held, the newest configuration of
// the entry VMs, when the log does not lead through it. A nil held stands for
// no answer.
func (s *LogState) NewGroupLog(held *catalogpb.Config) (*clusterpb.LogRecord, error) {
	newest := s.choose(held)
	index := max(s.LastIndex, newest.GetRevision()) + indexGap
	term := s.Term + termGap
	data, err := s.encode(newest, index)
	if err != nil {
		return nil, err
	}
	self := proto.CloneOf(s.self())
	self.DiskId = s.DiskID
	return &clusterpb.LogRecord{
		DiskId: s.DiskID,
		State:  &clusterpb.HardState{Term: term, Vote: s.ReplicaID},
		Snapshot: &clusterpb.ConsensusSnapshot{
			Index:   index,
			Term:    term,
			Members: &clusterpb.Membership{Members: []*catalogpb.ControlMember{self}},
			Data:    data,
		},
		BaseIndex: index,
		BaseTerm:  term,
	}, nil
}

// encode returns the state of the catalog at index with config in force.
func (s *LogState) encode(config *catalogpb.Config, index uint64) ([]byte, error) {
	data, err := s.catalog.Snapshot()
	if err != nil {
		return nil, errors.Trace(err)
	}
	var snap catalogpb.Snapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return nil, errors.Trace(err)
	}
	snap.Config = proto.CloneOf(config)
	snap.Config.Revision = index
	snap.AppliedIndex = index
	data, err = proto.Marshal(&snap)
	return data, errors.Annotate(err, "encode catalog")
}
