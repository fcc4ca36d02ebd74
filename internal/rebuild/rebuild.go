// Package rebuild creates a new control group from the log of one replica, for
// use when the group has lost its quorum for good. The replica is the only
// member of the new group.
//
// The new group starts from the configuration at the end of the replica's log,
// or, if the log does not contain the newest configuration that an entry VM
// holds, from that one. Its log index and term are higher than any that the old
// group can have reached, so every entry VM adopts its configuration. No
// accepted change is lost, provided that a majority of the entry VMs answered.
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
	// indexGap is the distance from the highest known log index to the first
	// one of the new group. The old group may have reached a higher index than
	// the known one, but not by this much.
	indexGap = 1_000_000
	// termGap is the distance from the highest known term to that of the new
	// group, for the same reason.
	termGap = 1_000
)

// LogState is the state that the log of a replica contains.
type LogState struct {
	ReplicaID uint64
	DiskID    uint64
	// Term is the highest term in the log.
	Term uint64
	// LastIndex is the index of the last entry.
	LastIndex uint64
	// Members lists the members of the control group.
	Members []*catalogpb.ControlMember
	catalog *catalog.Catalog
	// history holds the configuration at the snapshot and after each log entry,
	// oldest first.
	history []*catalogpb.Config
}

// Read returns the state in the log record of replica id. It includes log
// entries that may not have been committed, since no caller was told that they
// failed. It returns an error if the catalog in the snapshot cannot be decoded.
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
	s.history = []*catalogpb.Config{s.Config()}
	for _, e := range rec.GetEntries() {
		if e.GetIndex() > snap.GetIndex() {
			s.applyEntry(e)
		}
	}
	return s, nil
}

func (s *LogState) applyEntry(e *clusterpb.LogEntry) {
	s.LastIndex = e.GetIndex()
	s.Term = max(s.Term, e.GetTerm())
	if m := e.GetMembers(); m != nil {
		s.Members = m.GetMembers()
	}
	s.catalog.Apply(e.GetIndex(), e.GetData())
	s.history = append(s.history, s.Config())
}

// Config returns the configuration at the end of the log.
func (s *LogState) Config() *catalogpb.Config { return s.catalog.Config() }

// OtherMembers returns the replica ids of the other members of the group in
// ascending order.
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

// CheckRemoved returns an error of kind InvalidChange unless this replica is a
// voter and removed names all other members, in any order, and nothing else.
func (s *LogState) CheckRemoved(removed []uint64) error {
	self := s.ownMember()
	if self == nil || self.GetLearner() {
		return fault.New(fault.InvalidChange, "replica %d is not a voter of its control group", s.ReplicaID)
	}
	given := slices.Sorted(slices.Values(removed))
	if !slices.Equal(given, s.OtherMembers()) {
		return fault.New(fault.InvalidChange, "other members of the control group are %v, but those named for removal are %v", s.OtherMembers(), given)
	}
	return nil
}

func (s *LogState) ownMember() *catalogpb.ControlMember {
	for _, m := range s.Members {
		if m.GetReplicaId() == s.ReplicaID {
			return m
		}
	}
	return nil
}

// chooseConfig returns the configuration for the new group. held is the newest
// one that an entry VM holds, or nil if none answered. The last entries of the
// log may come from a leader without a quorum and may never have been
// committed. The configuration at the end of the log is therefore used only if
// the log contains held, held is older than the log's snapshot, or held is nil.
func (s *LogState) chooseConfig(held *catalogpb.Config) *catalogpb.Config {
	if held == nil || held.GetRevision() < s.history[0].GetRevision() {
		return s.Config()
	}
	for _, c := range s.history {
		if c.GetRevision() == held.GetRevision() && proto.Equal(c, held) {
			return s.Config()
		}
	}
	return held
}

// NewGroupLog returns the log of the new group, in which this replica is the
// only member. held is the newest configuration that an entry VM holds, or nil
// if none answered. See chooseConfig for the choice between it and the
// configuration at the end of the log.
func (s *LogState) NewGroupLog(held *catalogpb.Config) (*clusterpb.LogRecord, error) {
	newest := s.chooseConfig(held)
	index := max(s.LastIndex, newest.GetRevision()) + indexGap
	term := s.Term + termGap
	data, err := s.encodeCatalog(newest, index)
	if err != nil {
		return nil, err
	}
	self := proto.CloneOf(s.ownMember())
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

// encodeCatalog returns a snapshot of the catalog at index, with its
// configuration replaced by config.
func (s *LogState) encodeCatalog(config *catalogpb.Config, index uint64) ([]byte, error) {
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
