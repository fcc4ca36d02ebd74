package rebuild

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/storage"
)

func command(t *testing.T, cmd *catalogpb.Command) []byte {
	t.Helper()
	data, err := proto.Marshal(cmd)
	assert.NilError(t, err)
	return data
}

func putZone(t *testing.T, number uint64, name string) []byte {
	t.Helper()
	zone := &catalogpb.Zone{Name: name, Region: "r", State: catalogpb.ZoneState_ZONE_STATE_IN}
	return command(t, &catalogpb.Command{Kind: &catalogpb.Command_OperatorChange{OperatorChange: &catalogpb.OperatorChange{
		Id:     &catalogpb.ChangeID{Operator: "ann", Number: number},
		Change: &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: zone}},
	}}})
}

// registerEntry returns the command that registers an entry VM, given the
// revision of the last change to the set of entry VMs.
func registerEntry(t *testing.T, id, address string, setRevision uint64) []byte {
	t.Helper()
	entry := &catalogpb.Entry{Id: id, Zone: "a", CallerAddress: "127.0.0.1:1", ClusterAddress: address, Incarnation: 1}
	return command(t, &catalogpb.Command{Kind: &catalogpb.Command_RegisterEntry{RegisterEntry: &catalogpb.RegisterEntry{Entry: entry, SetRevision: setRevision}}})
}

// logRecord returns the log of replica 1 of three, with commands from index 2 on.
func logRecord(commands ...[]byte) *clusterpb.LogRecord {
	members := []*catalogpb.ControlMember{{ReplicaId: 1, DiskId: 77}, {ReplicaId: 2}, {ReplicaId: 3}}
	rec := &clusterpb.LogRecord{
		DiskId:    77,
		State:     &clusterpb.HardState{Term: 6, Vote: 2},
		Snapshot:  &clusterpb.ConsensusSnapshot{Index: 1, Term: 1, Members: &clusterpb.Membership{Members: members}},
		BaseIndex: 1,
		BaseTerm:  1,
	}
	for i, data := range commands {
		rec.Entries = append(rec.Entries, &clusterpb.LogEntry{Term: 4, Index: uint64(i) + 2, Data: data})
	}
	return rec
}

func zoneNames(c *catalogpb.Config) []string {
	var names []string
	for _, z := range c.GetZones() {
		names = append(names, z.GetName())
	}
	return names
}

// The log of the remaining replica ends with entries that were never committed,
// while the lost majority committed another change, which was accepted.
func TestUncommittedEndOfLogIsReplacedByAcceptedConfiguration(t *testing.T) {
	accepted := catalog.New()
	accepted.Apply(2, putZone(t, 1, "a"))
	common := proto.CloneOf(accepted.Config())
	accepted.Apply(3, putZone(t, 2, "b"))
	s, err := Read(1, logRecord(putZone(t, 1, "a"), putZone(t, 3, "x"), putZone(t, 4, "y")))
	assert.NilError(t, err)
	assert.Assert(t, s.Config().GetRevision() > accepted.Config().GetRevision())

	rec, err := s.NewGroupLog(accepted.Config())
	assert.NilError(t, err)
	after, err := Read(1, rec)
	assert.NilError(t, err)
	assert.DeepEqual(t, zoneNames(after.Config()), []string{"a", "b"})

	// The log contains the configuration that the entry VMs hold, so the entries
	// after it are kept.
	rec, err = s.NewGroupLog(common)
	assert.NilError(t, err)
	after, err = Read(1, rec)
	assert.NilError(t, err)
	assert.DeepEqual(t, zoneNames(after.Config()), []string{"a", "x", "y"})
}

func TestNewGroupStartsFromNewestConfiguration(t *testing.T) {
	ahead := catalog.New()
	for i, name := range []string{"a", "b"} {
		ahead.Apply(uint64(i)+2, putZone(t, uint64(i)+1, name))
	}
	s, err := Read(1, logRecord(putZone(t, 1, "a")))
	assert.NilError(t, err)
	assert.Equal(t, s.LastIndex, uint64(2))
	assert.Equal(t, s.Term, uint64(6))

	rec, err := s.NewGroupLog(ahead.Config())
	assert.NilError(t, err)
	after, err := Read(1, rec)
	assert.NilError(t, err)
	assert.DeepEqual(t, zoneNames(after.Config()), []string{"a", "b"})
	assert.Assert(t, after.Config().GetRevision() > ahead.Config().GetRevision())
	assert.Equal(t, after.Config().GetRevision(), after.LastIndex)
	assert.Assert(t, after.Term > s.Term)
	assert.Equal(t, len(after.Members), 1)
	assert.Equal(t, after.Members[0].GetDiskId(), uint64(77))

	resend := after.catalog.Apply(after.LastIndex+1, putZone(t, 1, "a")).(*catalogpb.ChangeResult)
	assert.Equal(t, resend.GetRevision(), uint64(2), "a resent change must get the result of the first attempt")

	// Without answers from entry VMs the change that added zone b is lost.
	rec, err = s.NewGroupLog(nil)
	assert.NilError(t, err)
	alone, err := Read(1, rec)
	assert.NilError(t, err)
	assert.DeepEqual(t, zoneNames(alone.Config()), []string{"a"})
}

func TestAllOtherMembersMustBeNamedAsRemoved(t *testing.T) {
	s, err := Read(1, logRecord())
	assert.NilError(t, err)
	assert.NilError(t, s.CheckRemoved([]uint64{3, 2}))
	assert.Equal(t, fault.KindOf(s.CheckRemoved([]uint64{2})), fault.InvalidChange)
	assert.Equal(t, fault.KindOf(s.CheckRemoved([]uint64{1, 2, 3})), fault.InvalidChange)
	nonMember, err := Read(9, logRecord())
	assert.NilError(t, err)
	assert.Equal(t, fault.KindOf(nonMember.CheckRemoved([]uint64{1, 2, 3})), fault.InvalidChange)
}

// fakeEntry answers Confirm with a fixed response.
type fakeEntry struct {
	clusterpb.Distribution
	resp *clusterpb.ConfirmResponse
}

func (e fakeEntry) Confirm(context.Context, *clusterpb.ConfirmRequest) (*clusterpb.ConfirmResponse, error) {
	return e.resp, nil
}

func serveEntry(t *testing.T, resp *clusterpb.ConfirmResponse) string {
	t.Helper()
	srv := httptest.NewServer(clusterpb.NewDistributionServer(fakeEntry{resp: resp}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func entriesAt(addresses ...string) []*catalogpb.Entry {
	var entries []*catalogpb.Entry
	for i, a := range addresses {
		entries = append(entries, &catalogpb.Entry{Id: string(rune('p' + i)), ClusterAddress: a})
	}
	return entries
}

func TestMajorityOfEntryVMsMustAnswer(t *testing.T) {
	const unreachable = "127.0.0.1:1"
	same := serveEntry(t, &clusterpb.ConfirmResponse{Synced: true})
	starting := serveEntry(t, &clusterpb.ConfirmResponse{})
	cases := []struct {
		name string
		// before is registered in the log, after in the configuration that the
		// first entry VM holds.
		before, after []string
		ok            bool
	}{
		{"two of three", []string{same, unreachable}, []string{same, unreachable}, true},
		{"one of two", []string{unreachable}, []string{unreachable}, false},
		{"an entry VM without a lease since its start does not count", []string{starting}, []string{starting}, false},
		{"a majority of the newer set suffices", []string{unreachable, unreachable}, []string{same, unreachable}, true},
		{"a majority of the older set does not suffice", []string{same, unreachable}, []string{unreachable, unreachable}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			newer := &catalogpb.Config{Revision: 90}
			first := serveEntry(t, &clusterpb.ConfirmResponse{Synced: true, Config: newer})
			newer.Entries = entriesAt(append([]string{first}, tc.after...)...)
			commands := [][]byte{putZone(t, 1, "a")}
			for i, address := range append([]string{first}, tc.before...) {
				set := uint64(0)
				if i > 0 {
					set = uint64(len(commands)) + 1
				}
				commands = append(commands, registerEntry(t, string(rune('p'+i)), address, set))
			}
			s, err := Read(1, logRecord(commands...))
			assert.NilError(t, err)
			assert.Equal(t, len(s.Config().GetEntries()), len(tc.before)+1)
			answers := s.QueryEntries(context.Background(), http.DefaultClient)
			assert.Equal(t, answers.Registered, len(tc.after)+1)
			assert.Equal(t, answers.Newest.GetRevision(), uint64(90))
			assert.Equal(t, answers.CheckMajority() == nil, tc.ok)
		})
	}
}

func TestStoreReplacesLogOnlyOfStoppedReplica(t *testing.T) {
	s := settings.Control{ID: 1, DataDir: t.TempDir(), Addresses: settings.Addresses{ClusterListen: "127.0.0.1:0"}}
	_, err := Open(s)
	assert.Equal(t, fault.KindOf(err), fault.NotFound)
	log, _, err := storage.Open(storage.OSFS{}, s.DataDir, 77)
	assert.NilError(t, err)
	assert.NilError(t, log.Replace(logRecord(putZone(t, 1, "a"))))
	assert.NilError(t, log.Close())

	store, err := Open(s)
	assert.NilError(t, err)
	assert.NilError(t, store.WriteNewGroup(EntryAnswers{}))
	assert.NilError(t, store.Close())
	again, err := Open(s)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.State.OtherMembers(), []uint64(nil))
	assert.DeepEqual(t, zoneNames(again.State.Config()), []string{"a"})
	assert.NilError(t, again.Close())

	l := httptest.NewServer(nil)
	defer l.Close()
	s.ClusterListen = l.Listener.Addr().String()
	_, err = Open(s)
	assert.Equal(t, fault.KindOf(err), fault.InvalidChange)
}
