package catalog

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	active     = catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE
	shifting   = catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING
	completed  = catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED
	rolledBack = catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK
)

func (m *testMachine) start(target string, durationMs uint32, base uint64) *fault.Error {
	order := &catalogpb.StartRollout{Pool: "p", Target: target, DurationMs: durationMs, BaseRevision: base}
	return m.command(&catalogpb.Command{Kind: &catalogpb.Command_StartRollout{StartRollout: order}}).(CommandResult).Err
}

func (m *testMachine) advance(to catalogpb.RolloutState, permille uint32) *fault.Error {
	r := FindRollout(m.Config(), "p")
	cmd := &catalogpb.AdvanceRollout{Pool: "p", StartedRevision: r.StartedRevision, FromRevision: r.ChangedRevision, State: to, ShiftPermille: permille}
	return m.command(&catalogpb.Command{Kind: &catalogpb.Command_AdvanceRollout{AdvanceRollout: cmd}}).(CommandResult).Err
}

func (m *testMachine) recordSoftware() {
	set := &catalogpb.SetPoolSoftware{Pools: UnrecordedSoftware(m.Config())}
	m.command(&catalogpb.Command{Kind: &catalogpb.Command_SetPoolSoftware{SetPoolSoftware: set}})
}

// newRolloutMachine returns a catalog with a pool whose version in rotation is v1.
func newRolloutMachine(t *testing.T) *testMachine {
	m := &testMachine{t: t, Catalog: New()}
	m.putState(&catalogpb.DesiredState{Version: 1, Pools: []*catalogpb.Pool{{Name: "p", HealthPath: "/"}}})
	for i, software := range []string{"v1", "v2"} {
		u := announcement([]string{"b", "a"}[i], uint64(10+i), 1, ready)
		u.Address, u.Pool, u.Software = u.Id+":1", "p", software
		m.announce(u)
	}
	assert.Equal(t, m.start("v2", 1000, 0).Kind, fault.NotFresh, "no version is recorded yet")
	m.recordSoftware()
	software, _ := SoftwareInRotation(m.Config(), "p")
	assert.Equal(t, software, "v1", "the version of the upstream that started first")
	return m
}

// TestRolloutOrders guards against an order that is lost, obeyed twice or late, and
// against one that replaces another that is under way.
func TestRolloutOrders(t *testing.T) {
	m := newRolloutMachine(t)
	for _, order := range []*catalogpb.StartRollout{{Target: "v2", DurationMs: 1}, {Pool: "p", DurationMs: 1}, {Pool: "p", Target: "v2"}} {
		assert.Equal(t, CheckStartRollout(order).Kind, fault.InvalidChange)
	}
	before := m.Config().Revision
	assert.Assert(t, m.start("v2", 1000, before) == nil)
	r := FindRollout(m.Config(), "p")
	assert.Equal(t, r.State, active)
	assert.Assert(t, m.start("v2", 1000, before) == nil, "the same order again")
	assert.Assert(t, FindRollout(m.Config(), "p") == r)
	assert.Equal(t, m.start("v3", 1000, m.Config().Revision).Kind, fault.RolloutUnderWay)
	assert.Equal(t, m.start("v2", 2000, m.Config().Revision).Kind, fault.RolloutUnderWay)
	assert.Assert(t, m.advance(rolledBack, 0) == nil)
	r = FindRollout(m.Config(), "p")
	assert.Assert(t, m.start("v2", 1000, before) == nil, "the same order, delayed beyond the verdict")
	assert.Assert(t, FindRollout(m.Config(), "p") == r)
	assert.Equal(t, m.start("v3", 1000, before).Kind, fault.OutdatedOrder, "another order, delayed beyond a later one")
	assert.Assert(t, m.start("v2", 1000, m.Config().Revision) == nil, "a new order")
	assert.Equal(t, FindRollout(m.Config(), "p").State, active)
	assert.Assert(t, m.advance(rolledBack, 0) == nil)
	assert.Assert(t, m.start("v1", 1000, m.Config().Revision) == nil)
	assert.Equal(t, FindRollout(m.Config(), "p").State, completed, "the target is in rotation")
}

// TestRolloutStatesFollowChart tries each state from each state, and a step that is based
// on an older one, as a leader proposes that has been replaced.
func TestRolloutStatesFollowChart(t *testing.T) {
	allowed := map[[2]catalogpb.RolloutState]bool{
		{active, shifting}: true, {active, rolledBack}: true, {shifting, shifting}: true, {shifting, rolledBack}: true, {shifting, completed}: true,
	}
	paths := map[catalogpb.RolloutState][]catalogpb.RolloutState{
		active: {}, shifting: {shifting}, completed: {shifting, completed}, rolledBack: {rolledBack},
	}
	for from, path := range paths {
		for _, to := range []catalogpb.RolloutState{active, shifting, completed, rolledBack} {
			m := newRolloutMachine(t)
			assert.Assert(t, m.start("v2", 1000, 0) == nil)
			for _, state := range path {
				assert.Assert(t, m.advance(state, 500) == nil)
			}
			old := FindRollout(m.Config(), "p")
			err := m.advance(to, 700)
			assert.Equal(t, err == nil, allowed[[2]catalogpb.RolloutState{from, to}], "%v to %v: %v", from, to, err)
			software, _ := SoftwareInRotation(m.Config(), "p")
			assert.Equal(t, software == "v2", FindRollout(m.Config(), "p").State == completed)
			late := &catalogpb.AdvanceRollout{Pool: "p", StartedRevision: old.StartedRevision, FromRevision: old.ChangedRevision - 1, State: rolledBack}
			result := m.command(&catalogpb.Command{Kind: &catalogpb.Command_AdvanceRollout{AdvanceRollout: late}}).(CommandResult)
			assert.Equal(t, result.Err.Kind, fault.StaleRevision)
		}
	}
	m := newRolloutMachine(t)
	assert.Assert(t, m.start("v2", 1000, 0) == nil)
	assert.Assert(t, m.advance(shifting, 500) == nil)
	assert.Assert(t, m.advance(shifting, 500) != nil, "no share twice")
	assert.Assert(t, m.advance(shifting, 1001) != nil)
}

// TestSnapshotsAndDeltasPreserveRollouts restores a catalog at each step of a roll-out
// and sends each as a delta.
func TestSnapshotsAndDeltasPreserveRollouts(t *testing.T) {
	m := newRolloutMachine(t)
	replica := m.Config()
	for _, step := range []func() *fault.Error{
		func() *fault.Error { return m.start("v2", 1000, 0) },
		func() *fault.Error { return m.advance(shifting, 250) },
		func() *fault.Error { return m.advance(completed, 0) },
	} {
		assert.Assert(t, step() == nil)
		next, err := Patch(replica, Delta(replica, m.Config()))
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(next, m.Config()))
		replica = next
		data, err := m.Snapshot()
		assert.NilError(t, err)
		restored := New()
		assert.NilError(t, restored.Restore(data))
		assert.Assert(t, proto.Equal(restored.Config(), m.Config()))
	}
	none, err := Patch(replica, Delta(replica, &catalogpb.Config{}))
	assert.NilError(t, err)
	assert.Equal(t, len(none.Rollouts)+len(none.PoolSoftware), 0)
}
