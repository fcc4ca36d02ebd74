package catalog

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

func testState(version uint64, routeNames ...string) *catalogpb.DesiredState {
	s := &catalogpb.DesiredState{
		Version: version,
		Pools:   []*catalogpb.Pool{{Name: "p", HealthPath: "/health"}},
		Limits:  &catalogpb.CallerLimits{MaxBodyBytes: version},
		Source:  []byte(fmt.Sprint("text of ", version)),
	}
	for _, name := range routeNames {
		s.Routes = append(s.Routes, &catalogpb.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE,
			TimeoutMs: 1_000, MaxAttempts: 1, Shares: []*catalogpb.RouteShare{{Pool: "p", Weight: 1}},
		})
	}
	return s
}

func (m *testMachine) putState(s *catalogpb.DesiredState) any {
	return m.command(&catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: s}})
}

func TestOnlyHigherStateVersionsAreApplied(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	first := m.putState(testState(5, "a")).(*catalogpb.DesiredStateResult)
	assert.Assert(t, first.Applied)
	other := testState(5, "b")
	other.Source = []byte("other text under the same version")
	for _, again := range []*catalogpb.DesiredState{testState(5, "a"), other, testState(4, "c")} {
		r := m.putState(again).(*catalogpb.DesiredStateResult)
		assert.Assert(t, !r.Applied)
		assert.Equal(t, r.HeldVersion, uint64(5))
		assert.Equal(t, m.Config().Routes[0].Name, "a")
	}
	version, source := m.StateSource()
	assert.Equal(t, version, uint64(5))
	assert.Equal(t, sourceText(t, source), "text of 5")
	next := m.putState(testState(9, "b", "a")).(*catalogpb.DesiredStateResult)
	assert.Assert(t, next.Applied)
	assert.Assert(t, strings.Contains(strings.Join(next.Diff, "\n"), "+ route b"))
	assert.Equal(t, len(m.Config().Routes), 2)
}

func TestInvalidStateChangesNothing(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.putState(testState(1, "a"))
	bad := testState(2, "a")
	bad.Routes[0].MaxAttempts = 0
	r := m.putState(bad).(CommandResult)
	assert.Equal(t, r.Err.Kind, fault.InvalidChange)
	assert.Assert(t, strings.Contains(r.Err.Detail, `"a"`))
	assert.Equal(t, m.Config().StateVersion, uint64(1))
	_, refusal := m.StateDryRun(bad)
	assert.Assert(t, refusal != nil)
	dry, refusal := m.StateDryRun(testState(3, "b"))
	assert.Assert(t, refusal == nil && dry.Applied)
	assert.Equal(t, m.Config().StateVersion, uint64(1))
}

// A route without a timeout, or two routes with the same host and path prefix,
// would leave undefined how a request is handled.
func TestRoutesWithoutTimeoutOrWithEqualPrefixesAreRejected(t *testing.T) {
	noTimeout := testState(2, "a", "b")
	noTimeout.Routes[1].TimeoutMs = 0
	assert.ErrorContains(t, CheckState(noTimeout), `"b" has no timeout`)
	samePrefix := testState(2, "a", "b")
	samePrefix.Routes[1].PathPrefix = samePrefix.Routes[0].PathPrefix
	assert.ErrorContains(t, CheckState(samePrefix), "same host and path prefix")
	samePrefix.Routes[1].Host = "another"
	assert.Assert(t, CheckState(samePrefix) == nil)
}

func announcement(id string, started, sequence uint64, state catalogpb.UpstreamState) *catalogpb.Upstream {
	return &catalogpb.Upstream{
		Id: id, StartedMs: started, Sequence: sequence, State: state,
		Address: "10.0.0.1:80", Zone: "a", Pool: "p", Slots: 2,
	}
}

func (m *testMachine) announce(u *catalogpb.Upstream) CommandResult {
	return m.command(&catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: u}}).(CommandResult)
}

func (m *testMachine) drop(id string, started uint64) {
	m.command(&catalogpb.Command{Kind: &catalogpb.Command_DropUpstream{DropUpstream: &catalogpb.DropUpstream{Id: id, StartedMs: started}}})
}

func (m *testMachine) upstreamState(id string) catalogpb.UpstreamState {
	u, _ := upstreams.get(m.Config().Upstreams, id)
	return u.GetState()
}

const (
	ready    = catalogpb.UpstreamState_UPSTREAM_STATE_READY
	draining = catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING
	gone     = catalogpb.UpstreamState_UPSTREAM_STATE_GONE
)

// An announcement or a departure can be delayed until a later one has been
// applied. It must not change the recorded state of the upstream.
func TestLateAnnouncementsAreIgnored(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.announce(announcement("u", 100, 5, ready))
	m.announce(announcement("u", 100, 6, draining))
	assert.Equal(t, m.upstreamState("u"), draining)
	m.announce(announcement("u", 100, 7, ready))
	assert.Equal(t, m.upstreamState("u"), draining, "draining ends only with a new start")
	m.drop("u", 100)
	m.announce(announcement("u", 100, 8, ready))
	assert.Equal(t, m.upstreamState("u"), gone, "late announcement of an upstream that has gone")
	m.announce(announcement("u", 200, 1, ready))
	assert.Equal(t, m.upstreamState("u"), ready, "announcement of a new start under the same id")
	m.drop("u", 100)
	assert.Equal(t, m.upstreamState("u"), ready, "late departure of the previous start")
	m.drop("never seen", 50)
	m.announce(announcement("never seen", 50, 1, ready))
	assert.Equal(t, m.upstreamState("never seen"), gone)
}

// When an address passes to an upstream that started later, the previous owner is
// gone, and a delayed announcement of an earlier start does not take the address
// back.
func TestAddressBelongsToTheLatestStart(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.announce(announcement("old", 100, 5, ready))
	m.announce(announcement("new", 300, 1, ready))
	assert.Equal(t, m.upstreamState("old"), gone)
	assert.Equal(t, m.upstreamState("new"), ready)
	m.announce(announcement("late", 200, 9, ready))
	assert.Equal(t, m.upstreamState("late"), catalogpb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED)
	assert.Equal(t, m.upstreamState("new"), ready)
}

func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	edits := []func(*catalogpb.Upstream){
		func(u *catalogpb.Upstream) { u.Id = "" },
		func(u *catalogpb.Upstream) { u.Address = "" },
		func(u *catalogpb.Upstream) { u.Pool = "" },
		func(u *catalogpb.Upstream) { u.Zone = "" },
		func(u *catalogpb.Upstream) { u.Slots = 0 },
		func(u *catalogpb.Upstream) { u.State = gone },
	}
	for i, edit := range edits {
		u := announcement("u", 1, 1, ready)
		edit(u)
		assert.Assert(t, m.announce(u).Err != nil, "%d", i)
	}
	assert.Equal(t, len(m.Config().Upstreams), 0)
}

// Applying an announcement for which NeedsCommit reports false may change nothing
// but the remaining time of a cold start.
func TestAnnouncementsThatNeedNoCommitChangeNoUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &testMachine{t: &testing.T{}, Catalog: New()}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			u := announcement(rapid.SampledFrom([]string{"u", "v"}).Draw(t, "id"),
				uint64(rapid.IntRange(1, 3).Draw(t, "started")), uint64(rapid.IntRange(1, 6).Draw(t, "sequence")),
				rapid.SampledFrom([]catalogpb.UpstreamState{ready, draining}).Draw(t, "state"))
			u.Address = rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80"}).Draw(t, "address")
			u.ColdMs = uint32(rapid.SampledFrom([]int{0, 500, 3000}).Draw(t, "cold"))
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
				m.drop(u.Id, u.StartedMs)
				continue
			}
			needsCommit, before := NeedsCommit(m.Config(), u), m.Config()
			m.announce(u)
			if !needsCommit {
				assert.Equal(t, upstreamsText(before), upstreamsText(m.Config()))
			}
		}
	})
}

func upstreamsText(cfg *catalogpb.Config) string {
	var b strings.Builder
	for _, u := range cfg.Upstreams {
		fmt.Fprintln(&b, u.Id, u.StartedMs, u.Address, u.State)
	}
	return b.String()
}

func TestSetZoneOutIsIdempotent(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	set := func(out bool) {
		cmd := &catalogpb.Command{Kind: &catalogpb.Command_SetZoneOut{SetZoneOut: &catalogpb.SetZoneOut{Zone: "a", Out: out}}}
		assert.Assert(t, m.command(cmd).(CommandResult).Err == nil)
	}
	set(false)
	assert.Equal(t, len(m.Config().Zones), 0)
	for range 2 {
		set(true)
		assert.Assert(t, closedToNewWork(m.Config().Zones[0].State))
	}
	for range 2 {
		set(false)
		assert.Assert(t, !closedToNewWork(m.Config().Zones[0].State))
	}
	set(true)
	assert.Assert(t, closedToNewWork(m.Config().Zones[0].State))
}

// After random desired states, announcements and departures, a catalog restored
// from a snapshot and a configuration built from deltas equal the original.
func TestSnapshotsAndDeltasPreserveState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &testMachine{t: &testing.T{}, Catalog: New()}
		replica := m.Config()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				names := []string{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "routes")]
				m.putState(testState(uint64(rapid.IntRange(1, 30).Draw(t, "version")), names...))
			case 1:
				id := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "id")
				u := announcement(id, 1, 1, ready)
				u.Address = id + ":1"
				m.announce(u)
			case 2:
				m.drop(rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "id"), 0)
			}
			if rapid.Bool().Draw(t, "sync") {
				next, err := Patch(replica, Delta(replica, m.Config()))
				assert.NilError(t, err)
				assert.Assert(t, proto.Equal(next, m.Config()))
				replica = next
			}
		}
		data, err := m.Snapshot()
		assert.NilError(t, err)
		restored := New()
		assert.NilError(t, restored.Restore(data))
		assert.Assert(t, proto.Equal(restored.Config(), m.Config()))
		v1, s1 := m.StateSource()
		v2, s2 := restored.StateSource()
		assert.Equal(t, v1, v2)
		a, err := s1.Text()
		assert.NilError(t, err)
		b, err := s2.Text()
		assert.NilError(t, err)
		assert.Equal(t, string(a), string(b))
	})
}

// Far more upstreams come and go than are retained: the configuration stays
// bounded and keeps those that started last.
func TestNumberOfGoneUpstreamsIsBounded(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.announce(announcement("stays", 1, 1, ready))
	for i := range uint64(3 * RetainedGoneUpstreams) {
		u := announcement(fmt.Sprint("u", i), 10+i, 1, ready)
		u.Address = fmt.Sprint("10.0.1.1:", i+1)
		m.announce(u)
		m.drop(u.Id, 0)
	}
	assert.Equal(t, len(m.Config().Upstreams), RetainedGoneUpstreams+1)
	assert.Equal(t, m.upstreamState("stays"), ready)
	assert.Equal(t, m.upstreamState(fmt.Sprint("u", 3*RetainedGoneUpstreams-1)), gone)
	assert.Equal(t, m.upstreamState("u0"), catalogpb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED)
}

func sourceText(t *testing.T, s Source) string {
	t.Helper()
	text, err := s.Text()
	assert.NilError(t, err)
	return string(text)
}

// The text of a long desired state is stored compressed and is returned
// unchanged, also after a restart from a snapshot.
func TestLongSourcesAreCompressed(t *testing.T) {
	long := testState(1, "a")
	for i := range 400 {
		long.Source = fmt.Appendf(long.Source, `{"name":"route-%d","host":"booking.example","prefix":"/r%d/","timeout":"2000ms"}`, i, i)
	}
	packed, err := CompressSource(long)
	assert.NilError(t, err)
	assert.Assert(t, packed.Source == nil && len(long.Source) > 20_000)
	assert.Assert(t, len(packed.PackedSource) < len(long.Source)/5, "%d of %d bytes", len(packed.PackedSource), len(long.Source))
	m := &testMachine{t: t, Catalog: New()}
	m.putState(packed)
	data, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	for _, c := range []*Catalog{m.Catalog, restored} {
		_, source := c.StateSource()
		assert.Equal(t, sourceText(t, source), string(long.Source))
	}
	short := testState(2, "a")
	same, err := CompressSource(short)
	assert.NilError(t, err)
	assert.Equal(t, same, short)
	_, err = Source{compressed: []byte("not compressed")}.Text()
	assert.Assert(t, err != nil)
}
