package catalog

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

const (
	applied        = catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED
	conflict       = catalogpb.ChangeOutcome_CHANGE_OUTCOME_CONFLICT
	stale          = catalogpb.ChangeOutcome_CHANGE_OUTCOME_STALE
	invalidOutcome = catalogpb.ChangeOutcome_CHANGE_OUTCOME_INVALID
	expired        = catalogpb.ChangeOutcome_CHANGE_OUTCOME_EXPIRED
)

// testMachine is a catalog that applies each command at the next log index.
type testMachine struct {
	t testing.TB
	*Catalog
	last uint64
	// features are those that all members of the group support.
	features features.Set
}

func (m *testMachine) command(cmd *catalogpb.Command) any {
	cmd.Features = uint64(m.features)
	data, err := proto.Marshal(cmd)
	assert.NilError(m.t, err)
	m.last++
	return m.Apply(m.last, data)
}

func (m *testMachine) change(operator string, number, expected uint64, c *catalogpb.Change) *catalogpb.ChangeResult {
	cmd := &catalogpb.OperatorChange{
		Id:                       &catalogpb.ChangeID{Operator: operator, Number: number},
		ExpectedOperatorRevision: expected,
		Change:                   c,
	}
	return m.command(&catalogpb.Command{Kind: &catalogpb.Command_OperatorChange{OperatorChange: cmd}}).(*catalogpb.ChangeResult)
}

func (m *testMachine) register(e *catalogpb.Entry) CommandResult {
	reg := &catalogpb.RegisterEntry{Entry: e, SetRevision: m.Config().SetRevision}
	return m.command(&catalogpb.Command{Kind: &catalogpb.Command_RegisterEntry{RegisterEntry: reg}}).(CommandResult)
}

func (m *testMachine) assign(cells ...*catalogpb.Cell) {
	m.command(&catalogpb.Command{Kind: &catalogpb.Command_AssignCells{AssignCells: &catalogpb.AssignCells{Cells: cells}}})
}

func putZoneChange(name string) *catalogpb.Change {
	return &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: name}}}
}

func setZoneStateChange(name string, s catalogpb.ZoneState) *catalogpb.Change {
	return &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: &catalogpb.SetZoneState{Zone: name, State: s}}}
}

func putServiceChange(s *catalogpb.Service) *catalogpb.Change {
	return &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: s}}
}

func putRuleChange(r *catalogpb.Rule) *catalogpb.Change {
	return &catalogpb.Change{Kind: &catalogpb.Change_PutRule{PutRule: r}}
}

func TestResentChangeGetsItsFirstResult(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	first := m.change("ann", 1, 0, putZoneChange("a"))
	assert.Equal(t, first.Outcome, applied)
	assert.Equal(t, m.change("ann", 1, 0, putZoneChange("a")), first)
	assert.Equal(t, m.change("ann", 1, 0, putZoneChange("b")).Outcome, conflict)
	assert.Equal(t, m.change("bob", 1, 0, putZoneChange("b")).Outcome, applied)
	assert.Equal(t, m.change("bob", 2, 1, putZoneChange("c")).Outcome, stale)
	assert.Equal(t, m.change("bob", 3, 2, putZoneChange("c")).Outcome, applied)
	assert.Equal(t, m.Config().OperatorRevision, uint64(3))
	assert.Equal(t, m.change("", 3, 0, putZoneChange("d")).Outcome, invalidOutcome)
}

func TestOldestChangeIDsExpire(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	for n := range uint64(RetainedChanges + 2) {
		m.change("ann", n+1, 0, putZoneChange("a"))
	}
	assert.Equal(t, m.change("ann", 2, 0, putZoneChange("a")).Outcome, expired)
	assert.Equal(t, m.change("ann", 3, 0, putZoneChange("a")).Outcome, applied)
	assert.Equal(t, m.change("bob", 1, 0, putZoneChange("a")).Outcome, applied)
}

func TestInvalidChangesAreRejected(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	assert.Equal(t, m.change("ann", 1, 0, putServiceChange(&catalogpb.Service{Name: "s", PathPrefix: "/s"})).Outcome, applied)
	assert.Equal(t, m.change("ann", 2, 0, putZoneChange("a")).Outcome, applied)
	changes := map[string]*catalogpb.Change{
		"empty change":                               {},
		"name with a slash":                          putServiceChange(&catalogpb.Service{Name: "s/t", PathPrefix: "/x"}),
		"path prefix without a leading slash":        putServiceChange(&catalogpb.Service{Name: "t", PathPrefix: "t"}),
		"path prefix of another service":             putServiceChange(&catalogpb.Service{Name: "t", PathPrefix: "/s/"}),
		"cold slots above slots":                     putServiceChange(&catalogpb.Service{Name: "t", PathPrefix: "/t", Slots: 2, ColdSlots: 3}),
		"unknown service":                            putRuleChange(&catalogpb.Rule{Service: "t", Name: "r", Method: "*", PathPattern: "/"}),
		"lower-case method":                          putRuleChange(&catalogpb.Rule{Service: "s", Name: "r", Method: "get", PathPattern: "/"}),
		"catch-all before the last segment":          putRuleChange(&catalogpb.Rule{Service: "s", Name: "r", Method: "*", PathPattern: "/*all/x"}),
		"unknown zone":                               setZoneStateChange("b", catalogpb.ZoneState_ZONE_STATE_OUT),
		"deletion of a zone that is not out":         {Kind: &catalogpb.Change_DeleteZone{DeleteZone: "a"}},
		"state change that the chart does not allow": setZoneStateChange("a", catalogpb.ZoneState_ZONE_STATE_RETURNING),
	}
	number := uint64(10)
	for name, c := range changes {
		number++
		before := m.Config()
		result := m.change("ann", number, 0, c)
		assert.Equal(t, result.Outcome, invalidOutcome, name)
		assert.Equal(t, m.Config(), before, name)
	}
}

func TestZoneStatesFollowChart(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.change("ann", 1, 0, putZoneChange("a"))
	path := []catalogpb.ZoneState{
		catalogpb.ZoneState_ZONE_STATE_LEAVING,
		catalogpb.ZoneState_ZONE_STATE_OUT,
		catalogpb.ZoneState_ZONE_STATE_RETURNING,
		catalogpb.ZoneState_ZONE_STATE_IN,
	}
	for i, s := range path {
		assert.Equal(t, m.change("ann", uint64(i)+2, 0, setZoneStateChange("a", s)).Outcome, applied)
		assert.Equal(t, m.Config().Zones[0].State, s)
	}
	result := m.change("ann", 10, 0, setZoneStateChange("a", catalogpb.ZoneState_ZONE_STATE_OUT))
	assert.DeepEqual(t, result.Diff, []string{"~ zone a: state in -> out"})
}

func TestCellsOfRemovedShardsAndEntryVMsAreRemoved(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.change("ann", 1, 0, putZoneChange("a"))
	m.change("ann", 2, 0, putServiceChange(&catalogpb.Service{Name: "s", PathPrefix: "/s", Shards: 2}))
	m.register(&catalogpb.Entry{Id: "e", ClusterAddress: "e:1", Incarnation: 1})
	m.assign(
		&catalogpb.Cell{Service: "s", Zone: "a", Shard: 0, Entry: "e", Incarnation: 1},
		&catalogpb.Cell{Service: "s", Zone: "a", Shard: 1, Entry: "e", Incarnation: 1},
		&catalogpb.Cell{Service: "s", Zone: "a", Shard: 2, Entry: "e", Incarnation: 1},
		&catalogpb.Cell{Service: "s", Zone: "a", Shard: 0, Entry: "e", Incarnation: 2},
	)
	assert.Equal(t, len(m.Config().Cells), 2)
	assert.Equal(t, m.Config().Cells[0].Epoch, m.Config().Revision)
	m.change("ann", 3, 0, putServiceChange(&catalogpb.Service{Name: "s", PathPrefix: "/s"}))
	assert.Equal(t, len(m.Config().Cells), 1)
	m.command(&catalogpb.Command{Kind: &catalogpb.Command_RemoveEntry{RemoveEntry: &catalogpb.RemoveEntry{Id: "e", SetRevision: m.Config().SetRevision}}})
	assert.Equal(t, len(m.Config().Cells), 0)
	assert.Equal(t, m.Config().PreviousSet[0].Id, "e")
}

func TestRegistrationWithStaleRevisionOrIncarnationIsRejected(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	assert.Assert(t, m.register(&catalogpb.Entry{Id: "e", ClusterAddress: "e:1", Incarnation: 5}).Err == nil)
	old := &catalogpb.RegisterEntry{Entry: &catalogpb.Entry{Id: "f", ClusterAddress: "f:1"}}
	result := m.command(&catalogpb.Command{Kind: &catalogpb.Command_RegisterEntry{RegisterEntry: old}}).(CommandResult)
	assert.Equal(t, result.Err.Kind, fault.StaleRevision)
	result = m.register(&catalogpb.Entry{Id: "e", ClusterAddress: "e:1", Incarnation: 4})
	assert.Equal(t, result.Err.Kind, fault.StaleRevision)
}

func TestSnapshotRestoresConfigurationAndChangeResults(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.change("ann", 1, 0, putZoneChange("a"))
	m.register(&catalogpb.Entry{Id: "e", ClusterAddress: "e:1"})
	data, err := m.Snapshot()
	assert.NilError(t, err)
	n := &testMachine{t: t, Catalog: New(), last: m.last}
	assert.NilError(t, n.Restore(data))
	assert.Assert(t, proto.Equal(m.Config(), n.Config()))
	assert.Equal(t, n.Index(), m.Index())
	assert.Equal(t, n.change("ann", 1, 0, putZoneChange("b")).Outcome, conflict)
	assert.Assert(t, n.Restore([]byte("\xff")) != nil)
}

func TestDryRunChangesNothing(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	change := &catalogpb.OperatorChange{Id: &catalogpb.ChangeID{Operator: "ann", Number: 1}, Change: putZoneChange("a")}
	result := m.DryRun(change)
	assert.Equal(t, result.Outcome, applied)
	assert.Assert(t, strings.HasPrefix(result.Diff[0], "+ zone a"))
	assert.Equal(t, m.Config().Revision, uint64(0))
}

// A command that registers several gateways skips entries that are invalid, of an
// old incarnation or not gateways. It fails as a whole if the set of entry VMs has
// changed since it was made.
func TestRegisterEntriesSkipsInvalidGateways(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	gateway := func(id string, incarnation uint64) *catalogpb.Entry {
		return &catalogpb.Entry{Id: id, ClusterAddress: id + ":1", Incarnation: incarnation, ServesStale: true}
	}
	register := func(setRevision uint64, list ...*catalogpb.Entry) CommandResult {
		reg := &catalogpb.RegisterEntries{Entries: list, SetRevision: setRevision}
		return m.command(&catalogpb.Command{Kind: &catalogpb.Command_RegisterEntries{RegisterEntries: reg}}).(CommandResult)
	}
	assert.Assert(t, register(0, gateway("a", 2), gateway("b", 1), &catalogpb.Entry{Id: "no address", ServesStale: true},
		&catalogpb.Entry{Id: "e", ClusterAddress: "e:1"}).Err == nil)
	assert.Equal(t, len(m.Config().Entries), 2)
	set := m.Config().SetRevision
	assert.Assert(t, register(set, gateway("a", 1), gateway("b", 3)).Err == nil)
	assert.Equal(t, m.Config().SetRevision, set)
	assert.Equal(t, m.Config().Entries[0].Incarnation, uint64(2))
	assert.Equal(t, m.Config().Entries[1].Incarnation, uint64(3))
	assert.Equal(t, register(0, gateway("c", 1)).Err.Kind, fault.StaleRevision)
	assert.Equal(t, len(m.Config().Entries), 2)
}
