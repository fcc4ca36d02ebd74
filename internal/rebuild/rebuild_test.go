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

// registerEntry expects that the last change of the set was at setRevision.
func registerEntry(t *testing.T, id, address string, setRevision uint64) []byte {
	t.Helper()
	entry := &catalogpb.Entry{Id: id, Zone: "a", CallerAddress: "127.0.0.1:1", ClusterAddress: address, Incarnation: 1}
	return command(t, &catalogpb.Command{Kind: &catalogpb.Command_RegisterEntry{RegisterEntry: &catalogpb.RegisterEntry{Entry: entry, SetRevision: setRevision}}})
}

// record returns the log of replica 1 of three, with commands from index 2 on.
func record(commands ...[]byte) *clusterpb.LogRecord {
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

func zones(c *catalogpb.Config) []string {
	var names []string
	for _, z := range c.GetZones() {
		names = append(names, z.GetName())
	}
	return names
}

// The end of the survivor's log is a branch that was never committed, while the
// lost majority committed and got accepted another change.
func TestAnUncommittedBranchGivesWay(t *testing.T) {
	accepted := catalog.New()
	accepted.Apply(2, putZone(t, 1, "a"))
	common := proto.CloneOf(accepted.Config())
	accepted.Apply(3, putZone(t, 2, "b"))
	s, err := Read(1, record(putZone(t, 1, "a"), putZone(t, 3, "x"), putZone(t, 4, "y")))
	assert.NilError(t, err)
	assert.Assert(t, s.Config().GetRevision() > accepted.Config().GetRevision())

	rec, err := s.NewGroupLog(accepted.Config())
	assert.NilError(t, err)
	after, err := Read(1, rec)
	assert.NilError(t, err)
	assert.DeepEqual(t, zones(after.Config()), []string{"a", "b"})

	// The log leads through what the entry VMs hold: its end is kept.
	rec, err = s.NewGroupLog(common)
	assert.NilError(t, err)
	after, err = Read(1, rec)
	assert.NilError(t, err)
	assert.DeepEqual(t, zones(after.Config()), []string{"a", "x", "y"})
}

func TestTheNewGroupKeepsTheNewestConfiguration(t *testing.T) {
	ahead := catalog.New()
	for i, name := range []string{"a", "b"} {
		ahead.Apply(uint64(i)+2, putZone(t, uint64(i)+1, name))
	}
	s, err := Read(1, record(putZone(t, 1, "a")))
	assert.NilError(t, err)
	assert.Equal(t, s.LastIndex, uint64(2))
	assert.Equal(t, s.Term, uint64(6))

	rec, err := s.NewGroupLog(ahead.Config())
	assert.NilError(t, err)
	after, err := Read(1, rec)
	assert.NilError(t, err)
	assert.DeepEqual(t, zones(after.Config()), []string{"a", "b"})
	assert.Assert(t, after.Config().GetRevision() > ahead.Config().GetRevision())
	assert.Equal(t, after.Config().GetRevision(), after.LastIndex)
	assert.Assert(t, after.Term > s.Term)
	assert.Equal(t, len(after.Members), 1)
	assert.Equal(t, after.Members[0].GetDiskId(), uint64(77))

	resend := after.catalog.Apply(after.LastIndex+1, putZone(t, 1, "a")).(*catalogpb.ChangeResult)
	assert.Equal(t, resend.GetRevision(), uint64(2), "a resend gets the answer of its first sending")

	// Without the answers of the entry VMs the accepted change to b is lost.
	rec, err = s.NewGroupLog(nil)
	assert.NilError(t, err)
	alone, err := Read(1, rec)
	assert.NilError(t, err)
	assert.DeepEqual(t, zones(alone.Config()), []string{"a"})
}

func TestCheckRemoved(t *testing.T) {
	s, err := Read(1, record())
	assert.NilError(t, err)
	assert.NilError(t, s.CheckRemoved([]uint64{3, 2}))
	assert.Equal(t, fault.KindOf(s.CheckRemoved([]uint64{2})), fault.InvalidChange)
	assert.Equal(t, fault.KindOf(s.CheckRemoved([]uint64{1, 2, 3})), fault.InvalidChange)
	stranger, err := Read(9, record())
	assert.NilError(t, err)
	assert.Equal(t, fault.KindOf(stranger.CheckRemoved([]uint64{1, 2, 3})), fault.InvalidChange)
}

// entry answers Confirm with a fixed response.
type entry struct {
	clusterpb.Distribution
	resp *clusterpb.ConfirmResponse
}

func (e entry) Confirm(context.Context, *clusterpb.ConfirmRequest) (*clusterpb.ConfirmResponse, error) {
	return e.resp, nil
}

func serveEntry(t *testing.T, resp *clusterpb.ConfirmResponse) string {
	t.Helper()
	srv := httptest.NewServer(clusterpb.NewDistributionServer(entry{resp: resp}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func registered(addresses ...string) []*catalogpb.Entry {
	var entries []*catalogpb.Entry
	for i, a := range addresses {
		entries = append(entries, &catalogpb.Entry{Id: string(rune('p' + i)), ClusterAddress: a})
	}
	return entries
}

func TestAMajorityOfEntriesMustAnswer(t *testing.T) {
	const nobody = "127.0.0.1:1"
	same := serveEntry(t, &clusterpb.ConfirmResponse{Synced: true})
	starting := serveEntry(t, &clusterpb.ConfirmResponse{})
	cases := []struct {
		name string
		// before is registered in the log, after in what the first one holds.
		before, after []string
		ok            bool
	}{
		{"two of three", []string{same, nobody}, []string{same, nobody}, true},
		{"one of two", []string{nobody}, []string{nobody}, false},
		{"a starting one does not count", []string{starting}, []string{starting}, false},
		{"the newer set counts", []string{nobody, nobody}, []string{same, nobody}, true},
		{"the older set does not", []string{same, nobody}, []string{nobody, nobody}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			newer := &catalogpb.Config{Revision: 90}
			first := serveEntry(t, &clusterpb.ConfirmResponse{Synced: true, Config: newer})
			newer.Entries = registered(append([]string{first}, tc.after...)...)
			commands := [][]byte{putZone(t, 1, "a")}
			for i, address := range append([]string{first}, tc.before...) {
				set := uint64(0)
				if i > 0 {
					set = uint64(len(commands)) + 1
				}
				commands = append(commands, registerEntry(t, string(rune('p'+i)), address, set))
			}
			s, err := Read(1, record(commands...))
			assert.NilError(t, err)
			assert.Equal(t, len(s.Config().GetEntries()), len(tc.before)+1)
			asked := s.QueryEntries(context.Background(), http.DefaultClient)
			assert.Equal(t, asked.Registered, len(tc.after)+1)
			assert.Equal(t, asked.Newest.GetRevision(), uint64(90))
			assert.Equal(t, asked.CheckMajority() == nil, tc.ok)
		})
	}
}

func TestStore(t *testing.T) {
	s := settings.Control{ID: 1, DataDir: t.TempDir(), Addresses: settings.Addresses{ClusterListen: "127.0.0.1:0"}}
	_, err := Open(s)
	assert.Equal(t, fault.KindOf(err), fault.NotFound)
	log, _, err := storage.Open(storage.OSFS{}, s.DataDir, 77)
	assert.NilError(t, err)
	assert.NilError(t, log.Replace(record(putZone(t, 1, "a"))))
	assert.NilError(t, log.Close())

	store, err := Open(s)
	assert.NilError(t, err)
	assert.NilError(t, store.WriteNewGroup(EntryAnswers{}))
	assert.NilError(t, store.Close())
	again, err := Open(s)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.State.OtherMembers(), []uint64(nil))
	assert.DeepEqual(t, zones(again.State.Config()), []string{"a"})
	assert.NilError(t, again.Close())

	l := httptest.NewServer(nil)
	defer l.Close()
	s.ClusterListen = l.Listener.Addr().String()
	_, err = Open(s)
	assert.Equal(t, fault.KindOf(err), fault.InvalidChange)
}
