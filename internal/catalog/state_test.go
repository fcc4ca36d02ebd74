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

func stateOf(version uint64, routeNames ...string) *catalogpb.DesiredState {
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

func (m *machine) state(s *catalogpb.DesiredState) any {
	return m.command(&catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: s}})
}

func TestHighestVersionIsInForce(t *testing.T) {
	m := &machine{t: t, Catalog: New()}
	first := m.state(stateOf(5, "a")).(*catalogpb.DesiredStateResult)
	assert.Assert(t, first.Applied)
	other := stateOf(5, "b")
	other.Source = []byte("other text under the same version")
	for _, again := range []*catalogpb.DesiredState{stateOf(5, "a"), other, stateOf(4, "c")} {
		r := m.state(again).(*catalogpb.DesiredStateResult)
		assert.Assert(t, !r.Applied)
		assert.Equal(t, r.HeldVersion, uint64(5))
		assert.Equal(t, m.Config().Routes[0].Name, "a")
	}
	version, source := m.StateSource()
	assert.Equal(t, version, uint64(5))
	assert.Equal(t, textOf(t, source), "text of 5")
	next := m.state(stateOf(9, "b", "a")).(*catalogpb.DesiredStateResult)
	assert.Assert(t, next.Applied)
	assert.Assert(t, strings.Contains(strings.Join(next.Diff, "\n"), "+ route b"))
	assert.Equal(t, len(m.Config().Routes), 2)
}

func TestInvalidStateChangesNothing(t *testing.T) {
	m := &machine{t: t, Catalog: New()}
	m.state(stateOf(1, "a"))
	bad := stateOf(2, "a")
	bad.Routes[0].MaxAttempts = 0
	r := m.state(bad).(CommandResult)
	assert.Equal(t, r.Err.Kind, fault.InvalidChange)
	assert.Assert(t, strings.Contains(r.Err.Detail, `"a"`))
	assert.Equal(t, m.Config().StateVersion, uint64(1))
	_, refusal := m.StateDryRun(bad)
	assert.Assert(t, refusal != nil)
	dry, refusal := m.StateDryRun(stateOf(3, "b"))
	assert.Assert(t, refusal == nil && dry.Applied)
	assert.Equal(t, m.Config().StateVersion, uint64(1))
}

// TestStatesThatNoRequestCouldFollow checks mistakes that leave open what
// becomes of a request.
func TestStatesThatNoRequestCouldFollow(t *testing.T) {
	noTimeout := stateOf(2, "a", "b")
	noTimeout.Routes[1].TimeoutMs = 0
	assert.ErrorContains(t, CheckState(noTimeout), `"b" has no timeout`)
	samePlace := stateOf(2, "a", "b")
	samePlace.Routes[1].PathPrefix = samePlace.Routes[0].PathPrefix
	assert.ErrorContains(t, CheckState(samePlace), "same host and path prefix")
	samePlace.Routes[1].Host = "another"
	assert.Assert(t, CheckState(samePlace) == nil)
}

func announcement(id string, started, sequence uint64, state catalogpb.UpstreamState) *catalogpb.Upstream {
	return &catalogpb.Upstream{
		Id: id, StartedMs: started, Sequence: sequence, State: state,
		Address: "10.0.0.1:80", Zone: "a", Pool: "p", Slots: 2,
	}
}

func (m *machine) announce(u *catalogpb.Upstream) CommandResult {
	return m.command(&catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: u}}).(CommandResult)
}

func (m *machine) drop(id string, started uint64) {
	m.command(&catalogpb.Command{Kind: &catalogpb.Command_DropUpstream{DropUpstream: &catalogpb.DropUpstream{Id: id, StartedMs: started}}})
}

func (m *machine) upstreamState(id string) catalogpb.UpstreamState {
	u, _ := upstreams.get(m.Config().Upstreams, id)
	return u.GetState()
}

const (
	isReady  = catalogpb.UpstreamState_UPSTREAM_STATE_READY
	draining = catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING
	gone     = catalogpb.UpstreamState_UPSTREAM_STATE_GONE
)

// TestLateAnnouncements replays announcements that arrive after what they say
// has been overtaken.
func TestLateAnnouncements(t *testing.T) {
	m := &machine{t: t, Catalog: New()}
	m.announce(announcement("u", 100, 5, isReady))
	m.announce(announcement("u", 100, 6, draining))
	assert.Equal(t, m.upstreamState("u"), draining)
	m.announce(announcement("u", 100, 7, isReady))
	assert.Equal(t, m.upstreamState("u"), draining, "draining ends only with a new start")
	m.drop("u", 100)
	m.announce(announcement("u", 100, 8, isReady))
	assert.Equal(t, m.upstreamState("u"), gone, "a late announcement of the start that has left")
	m.announce(announcement("u", 200, 1, isReady))
	assert.Equal(t, m.upstreamState("u"), isReady, "a restart under the same id counts anew")
	m.drop("u", 100)
	assert.Equal(t, m.upstreamState("u"), isReady, "a late word of the start before")
	m.drop("never seen", 50)
	m.announce(announcement("never seen", 50, 1, isReady))
	assert.Equal(t, m.upstreamState("never seen"), gone)
}

// TestAddressOfAnother replays an address that passes to another upstream, and
// a delayed announcement of the one that had it.
func TestAddressOfAnother(t *testing.T) {
	m := &machine{t: t, Catalog: New()}
	m.announce(announcement("old", 100, 5, isReady))
	m.announce(announcement("new", 300, 1, isReady))
	assert.Equal(t, m.upstreamState("old"), gone)
	assert.Equal(t, m.upstreamState("new"), isReady)
	m.announce(announcement("late", 200, 9, isReady))
	assert.Equal(t, m.upstreamState("late"), catalogpb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED)
	assert.Equal(t, m.upstreamState("new"), isReady)
}

func TestBrokenAnnouncementsAreRefused(t *testing.T) {
	m := &machine{t: t, Catalog: New()}
	edits := []func(*catalogpb.Upstream){
		func(u *catalogpb.Upstream) { u.Id = "" },
		func(u *catalogpb.Upstream) { u.Address = "" },
		func(u *catalogpb.Upstream) { u.Pool = "" },
		func(u *catalogpb.Upstream) { u.Zone = "" },
		func(u *catalogpb.Upstream) { u.Slots = 0 },
		func(u *catalogpb.Upstream) { u.State = gone },
	}
	for i, edit := range edits {
		u := announcement("u", 1, 1, isReady)
		edit(u)
		assert.Assert(t, m.announce(u).Err != nil, "%d", i)
	}
	assert.Equal(t, len(m.Config().Upstreams), 0)
}

// TestNewsAgreesWithTheCatalog draws announcements: one that is said to be no
// news must change nothing but the time of a cold start.
func TestNewsAgreesWithTheCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: &testing.T{}, Catalog: New()}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			u := announcement(rapid.SampledFrom([]string{"u", "v"}).Draw(t, "id"),
				uint64(rapid.IntRange(1, 3).Draw(t, "started")), uint64(rapid.IntRange(1, 6).Draw(t, "sequence")),
				rapid.SampledFrom([]catalogpb.UpstreamState{isReady, draining}).Draw(t, "state"))
			u.Address = rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80"}).Draw(t, "address")
			u.ColdMs = uint32(rapid.SampledFrom([]int{0, 500, 3000}).Draw(t, "cold"))
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
				m.drop(u.Id, u.StartedMs)
				continue
			}
			news, before := NeedsCommit(m.Config(), u), m.Config()
			m.announce(u)
			if !news {
				assert.Equal(t, stateText(before), stateText(m.Config()))
			}
		}
	})
}

func stateText(cfg *catalogpb.Config) string {
	var b strings.Builder
	for _, u := range cfg.Upstreams {
		fmt.Fprintln(&b, u.Id, u.StartedMs, u.Address, u.State)
	}
	return b.String()
}

func TestZoneOutIsIdempotent(t *testing.T) {
	m := &machine{t: t, Catalog: New()}
	set := func(out bool) {
		cmd := &catalogpb.Command{Kind: &catalogpb.Command_SetZoneOut{SetZoneOut: &catalogpb.SetZoneOut{Zone: "a", Out: out}}}
		assert.Assert(t, m.command(cmd).(CommandResult).Err == nil)
	}
	set(false)
	assert.Equal(t, len(m.Config().Zones), 0)
	for range 2 {
		set(true)
		assert.Assert(t, isOut(m.Config().Zones[0].State))
	}
	for range 2 {
		set(false)
		assert.Assert(t, !isOut(m.Config().Zones[0].State))
	}
	set(true)
	assert.Assert(t, isOut(m.Config().Zones[0].State))
}

// TestStateOutlivesSnapshotsAndDeltas draws states and announcements and
// compares a restored catalog, and a configuration made from deltas.
func TestStateOutlivesSnapshotsAndDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: &testing.T{}, Catalog: New()}
		held := m.Config()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				names := []string{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "routes")]
				m.state(stateOf(uint64(rapid.IntRange(1, 30).Draw(t, "version")), names...))
			case 1:
				id := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "id")
				u := announcement(id, 1, 1, isReady)
				u.Address = id + ":1"
				m.announce(u)
			case 2:
				m.drop(rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "id"), 0)
			}
			if rapid.Bool().Draw(t, "sync") {
				next, err := Patch(held, Delta(held, m.Config()))
				assert.NilError(t, err)
				assert.Assert(t, proto.Equal(next, m.Config()))
				held = next
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

// TestDeparturesAreForgottenInTime lets many more upstreams come and go than
// are remembered: the configuration stays bounded, and those that left last are
// known.
func TestDeparturesAreForgottenInTime(t *testing.T) {
	m := &machine{t: t, Catalog: New()}
	m.announce(announcement("stays", 1, 1, isReady))
	for i := range uint64(3 * RetainedGone) {
		u := announcement(fmt.Sprint("u", i), 10+i, 1, isReady)
		u.Address = fmt.Sprint("10.0.1.1:", i+1)
		m.announce(u)
		m.drop(u.Id, 0)
	}
	assert.Equal(t, len(m.Config().Upstreams), RetainedGone+1)
	assert.Equal(t, m.upstreamState("stays"), isReady)
	assert.Equal(t, m.upstreamState(fmt.Sprint("u", 3*RetainedGone-1)), gone)
	assert.Equal(t, m.upstreamState("u0"), catalogpb.UpstreamState_UPSTREAM_STATE_UNSPECIFIED)
}

func textOf(t *testing.T, s Source) string {
	t.Helper()
	text, err := s.Text()
	assert.NilError(t, err)
	return string(text)
}

// TestLongTextsArePacked keeps a text of many routes in a small part of its
// length, through a snapshot as well, and gives it back as it was sent.
func TestLongTextsArePacked(t *testing.T) {
	long := stateOf(1, "a")
	for i := range 400 {
		long.Source = fmt.Appendf(long.Source, `{"name":"route-%d","host":"booking.example","prefix":"/r%d/","timeout":"2000ms"}`, i, i)
	}
	packed, err := CompressSource(long)
	assert.NilError(t, err)
	assert.Assert(t, packed.Source == nil && len(long.Source) > 20_000)
	assert.Assert(t, len(packed.PackedSource) < len(long.Source)/5, "%d of %d bytes", len(packed.PackedSource), len(long.Source))
	m := &machine{t: t, Catalog: New()}
	m.state(packed)
	data, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	for _, c := range []*Catalog{m.Catalog, restored} {
		_, source := c.StateSource()
		assert.Equal(t, textOf(t, source), string(long.Source))
	}
	short := stateOf(2, "a")
	same, err := CompressSource(short)
	assert.NilError(t, err)
	assert.Equal(t, same, short)
	_, err = Source{packed: []byte("not compressed")}.Text()
	assert.Assert(t, err != nil)
}
