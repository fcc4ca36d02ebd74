package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/proof"
)

// layout is a configuration and the entry VMs that are available.
type layout struct {
	cfg       *catalogpb.Config
	available map[string]Entry
}

func newLayout(services, zones int) *layout {
	l := &layout{cfg: &catalogpb.Config{}, available: map[string]Entry{}}
	for i := range services {
		l.cfg.Services = append(l.cfg.Services, &catalogpb.Service{Name: fmt.Sprintf("s%03d", i), Shards: 1})
	}
	for i := range zones {
		l.cfg.Zones = append(l.cfg.Zones, &catalogpb.Zone{Name: zoneName(i)})
	}
	return l
}

func zoneName(i int) string { return string(rune('a' + i)) }

func (l *layout) add(id string, zone int, incarnation uint64) {
	l.available[id] = Entry{ID: id, Zone: zoneName(zone), Incarnation: incarnation}
}

func (l *layout) list() []Entry {
	var list []Entry
	for _, e := range l.available {
		list = append(list, e)
	}
	return list
}

// plan makes one plan and puts it into the configuration.
func (l *layout) plan() []*catalogpb.Cell {
	moved := Cells(l.cfg, l.list())
	byName := map[cellName]*catalogpb.Cell{}
	for _, c := range append(l.cfg.Cells, moved...) {
		byName[cellName{c.Service, c.Zone, c.Shard}] = c
	}
	l.cfg.Cells = nil
	for _, c := range byName {
		l.cfg.Cells = append(l.cfg.Cells, c)
	}
	return moved
}

// settle plans until nothing moves, and returns the number of plans.
func (l *layout) settle(t assert.TestingT) int {
	for n := range 200 {
		if len(l.plan()) == 0 {
			return n
		}
	}
	assert.Assert(t, false, "plans do not come to rest")
	return 0
}

// check expects each cell at an available entry VM, at home if it can be.
func (l *layout) check(t assert.TestingT) {
	inZone := map[string]bool{}
	for _, e := range l.available {
		inZone[e.Zone] = true
	}
	assert.Equal(t, len(l.cfg.Cells), len(l.cfg.Services)*len(l.cfg.Zones))
	for _, c := range l.cfg.Cells {
		e, ok := l.available[c.Entry]
		assert.Assert(t, ok && e.Incarnation == c.Incarnation)
		assert.Assert(t, e.Zone == c.Zone || !inZone[c.Zone])
	}
}

// TestProofAssignment draws joins, losses and restarts. Each plan puts every
// cell at an available entry VM, and moves few cells that could stay.
func TestProofAssignment(t *testing.T) {
	proof.Check(t, func(rt *rapid.T) {
		l := newLayout(rapid.IntRange(1, 6).Draw(rt, "services"), 3)
		l.add("e0", 0, 1)
		for range 20 {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 8).Draw(rt, "entry"))
			e, there := l.available[id]
			switch {
			case there && len(l.available) > 1 && rapid.Bool().Draw(rt, "lost"):
				delete(l.available, id)
			default:
				l.add(id, rapid.IntRange(0, 2).Draw(rt, "zone"), e.Incarnation+1)
			}
			stay := newPlanner(l.cfg, l.list())
			couldStay := 0
			for _, c := range l.cfg.Cells {
				if stay.canKeep(c) {
					couldStay++
				}
			}
			total := len(l.cfg.Services) * len(l.cfg.Zones)
			moved := l.plan()
			assert.Assert(rt, len(moved) <= total-couldStay+max(1, total/maxRebalanceDivisor))
			l.check(rt)
			l.settle(rt)
			l.check(rt)
		}
	})
}

// TestRestartMovesOnlyOwnCells restarts one entry VM of a large layout.
func TestRestartMovesOnlyOwnCells(t *testing.T) {
	l := newLayout(140, 8)
	for i := range 104 {
		l.add(fmt.Sprintf("e%03d", i), i%8, 1)
	}
	l.settle(t)
	l.add("e000", 0, 2)
	moved := l.plan()
	assert.Assert(t, len(moved) >= 10 && len(moved) <= 11, "%d", len(moved))
	for _, c := range moved {
		assert.Equal(t, c.Entry, "e000")
	}
	assert.Equal(t, len(l.plan()), 0)
	assert.Assert(t, Cells(l.cfg, nil) == nil)
}

// probe records a failed check.
type probe struct {
	failed bool
}

func (p *probe) FailNow()   { p.failed = true }
func (p *probe) Fail()      { p.failed = true }
func (p *probe) Log(...any) {}

// TestCheckNoticesRulesOff keeps cells where a rule would move them.
func TestCheckNoticesRulesOff(t *testing.T) {
	for name, change := range map[string]func(l *layout){
		"a restarted entry VM keeps its cells": func(l *layout) { l.add("e0", 0, 2) },
		"a lost entry VM keeps its cells":      func(l *layout) { delete(l.available, "e0") },
		"cells stay away from home":            func(l *layout) { l.add("e1", 1, 1) },
		"a new service has no cells":           func(l *layout) { l.cfg.Services = append(l.cfg.Services, &catalogpb.Service{Name: "t"}) },
	} {
		l := newLayout(2, 2)
		l.add("e0", 0, 1)
		l.add("e2", 0, 1)
		l.settle(t)
		l.check(t)
		change(l)
		var p probe
		l.check(&p)
		assert.Assert(t, p.failed, name)
	}
}
