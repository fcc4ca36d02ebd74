package catalog

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/assign"
	"balsamcourse.example/balsamcourse/internal/configview"
)

// newFilledCatalog returns a catalog with the given numbers of services,
// availability zones and entry VMs, in which every cell is assigned.
func newFilledCatalog(t testing.TB, services, zones, entries int) *testMachine {
	m := &testMachine{t: t, Catalog: New()}
	number := uint64(0)
	change := func(c *catalogpb.Change) {
		number++
		m.change("ann", number, 0, c)
	}
	for i := range zones {
		change(putZoneChange(fmt.Sprintf("region-%d-%c", i/3, 'a'+i%3)))
	}
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		change(putServiceChange(&catalogpb.Service{
			Name: name, PathPrefix: "/" + name, Slots: 4, ColdSlots: 1, ProbeBudgetPermille: 5,
			RetryBudgetPermille: 100, ProbePath: "/healthz",
		}))
		for r := range 3 {
			change(putRuleChange(&catalogpb.Rule{Service: name, Name: fmt.Sprintf("rule-%d", r), Method: "POST", PathPattern: fmt.Sprintf("/orders/:id/%d", r), KeyRequired: true}))
		}
	}
	var available []assign.Entry
	var members []string
	for i := range entries {
		e := testEntry(m, i, zones, 1)
		m.register(e)
		available = append(available, assign.Entry{ID: e.Id, Zone: e.Zone, Incarnation: e.Incarnation})
		members = append(members, e.Id)
	}
	m.assign(assign.Cells(m.Config(), available)...)
	set := &catalogpb.SetClaimEpoch{ClaimEpoch: &catalogpb.ClaimEpoch{Members: members}}
	m.command(&catalogpb.Command{Kind: &catalogpb.Command_SetClaimEpoch{SetClaimEpoch: set}})
	return m
}

func testEntry(m *testMachine, i, zones int, incarnation uint64) *catalogpb.Entry {
	return &catalogpb.Entry{
		Id: fmt.Sprintf("entry-%03d", i), Zone: m.Config().Zones[i%zones].Name,
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), ClusterAddress: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
		Incarnation: 1_764_800_000_000_000_000 + incarnation,
	}
}

// TestLogsEncodedSizes logs the encoded sizes of configurations, snapshots and
// deltas.
func TestLogsEncodedSizes(t *testing.T) {
	for _, size := range [][3]int{{2, 4, 20}, {140, 8, 20}, {140, 8, 100}} {
		m := newFilledCatalog(t, size[0], size[1], size[2])
		snap, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		base := m.Config()
		m.change("ann", 1_000_000, 0, setZoneStateChange(base.Zones[0].Name, catalogpb.ZoneState_ZONE_STATE_LEAVING))
		zoneDelta := proto.Size(Delta(base, m.Config()))
		base = m.Config()
		restarted := testEntry(m, 0, size[1], 2)
		m.register(restarted)
		var restartedCells []*catalogpb.Cell
		for _, c := range m.Config().Cells {
			if c.Entry == restarted.Id {
				restartedCells = append(restartedCells, &catalogpb.Cell{Service: c.Service, Zone: c.Zone, Entry: c.Entry, Incarnation: restarted.Incarnation})
			}
		}
		m.assign(restartedCells...)
		t.Logf("services=%d zones=%d entries=%d: configuration %d B, snapshot %d B, delta of a zone state %d B, delta of a restart with %d cells %d B",
			size[0], size[1], size[2], proto.Size(base), len(snap), zoneDelta, len(restartedCells), proto.Size(Delta(base, m.Config())))
	}
}

// BenchmarkConfigChange measures the steps of a configuration change, and the
// assignment of all cells, with 140 services, 8 availability zones and 100 entry
// VMs.
func BenchmarkConfigChange(b *testing.B) {
	m := newFilledCatalog(b, 140, 8, 100)
	base := m.Config()
	m.change("ann", 1_000_000, 0, setZoneStateChange(base.Zones[0].Name, catalogpb.ZoneState_ZONE_STATE_LEAVING))
	next := m.Config()
	delta := Delta(base, next)
	var available []assign.Entry
	for _, e := range next.Entries {
		available = append(available, assign.Entry{ID: e.Id, Zone: e.Zone, Incarnation: e.Incarnation})
	}
	steps := map[string]func(){
		"apply": func() {
			number := m.last + 2_000_000
			m.change("ann", number, 0, putZoneChange(base.Zones[0].Name))
		},
		"delta": func() { Delta(base, next) },
		"patch": func() {
			if _, err := Patch(base, delta); err != nil {
				b.Fatal(err)
			}
		},
		"view": func() { configview.New(next) },
		"plan": func() { assign.Cells(next, available) },
		"snapshot": func() {
			if _, err := m.Snapshot(); err != nil {
				b.Fatal(err)
			}
		},
	}
	for name, step := range steps {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
