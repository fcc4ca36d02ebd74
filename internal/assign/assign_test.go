package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/proptest"
)

// cluster is a configuration with the available entry VMs.
type cluster struct {
	cfg       *catalogpb.Config
	available map[string]Entry
}

func newCluster(services, zones int) *cluster {
	cl := &cluster{cfg: &catalogpb.Config{}, available: map[string]Entry{}}
	for i := range services {
		cl.cfg.Services = append(cl.cfg.Services, &catalogpb.Service{Name: fmt.Sprintf("s%03d", i), Shards: 1})
	}
	for i := range zones {
		cl.cfg.Zones = append(cl.cfg.Zones, &catalogpb.Zone{Name: zoneName(i)})
	}
	return cl
}

func zoneName(i int) string { return string(rune('a' + i)) }

func (cl *cluster) add(id string, zone int, incarnation uint64) {
	cl.available[id] = Entry{ID: id, Zone: zoneName(zone), Incarnation: incarnation}
}

func (cl *cluster) entries() []Entry {
	var list []Entry
	for _, e := range cl.available {
		list = append(list, e)
	}
	return list
}

// applyPlan computes one plan, applies it to the configuration and returns it.
func (cl *cluster) applyPlan() []*catalogpb.Cell {
	moved := Cells(cl.cfg, cl.entries())
	byName := map[cellKey]*catalogpb.Cell{}
	for _, c := range append(cl.cfg.Cells, moved...) {
		byName[cellKey{c.Service, c.Zone, c.Shard}] = c
	}
	cl.cfg.Cells = nil
	for _, c := range byName {
		cl.cfg.Cells = append(cl.cfg.Cells, c)
	}
	return moved
}

// planUntilStable applies plans until no cell moves, and returns their number. It
// fails the test after 200 plans.
func (cl *cluster) planUntilStable(t assert.TestingT) int {
	for n := range 200 {
		if len(cl.applyPlan()) == 0 {
			return n
		}
	}
	assert.Assert(t, false, "cells still move after 200 plans")
	return 0
}

// checkAssignments expects each cell to be assigned to an available entry VM, in
// the cell's zone if that has one.
func (cl *cluster) checkAssignments(t assert.TestingT) {
	inZone := map[string]bool{}
	for _, e := range cl.available {
		inZone[e.Zone] = true
	}
	assert.Equal(t, len(cl.cfg.Cells), len(cl.cfg.Services)*len(cl.cfg.Zones))
	for _, c := range cl.cfg.Cells {
		e, ok := cl.available[c.Entry]
		assert.Assert(t, ok && e.Incarnation == c.Incarnation)
		assert.Assert(t, e.Zone == c.Zone || !inZone[c.Zone])
	}
}

// TestProofEveryCellIsAssignedAndFewCellsMove lets entry VMs join, fail and restart
// at random. Each plan must assign every cell to an available entry VM, and move no
// more cells that could stay than rebalancing allows.
func TestProofEveryCellIsAssignedAndFewCellsMove(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		cl := newCluster(rapid.IntRange(1, 6).Draw(rt, "services"), 3)
		cl.add("e0", 0, 1)
		for range 20 {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 8).Draw(rt, "entry"))
			e, there := cl.available[id]
			switch {
			case there && len(cl.available) > 1 && rapid.Bool().Draw(rt, "lost"):
				delete(cl.available, id)
			default:
				cl.add(id, rapid.IntRange(0, 2).Draw(rt, "zone"), e.Incarnation+1)
			}
			before := newPlanner(cl.cfg, cl.entries())
			couldStay := 0
			for _, c := range cl.cfg.Cells {
				if before.canKeep(c) {
					couldStay++
				}
			}
			total := len(cl.cfg.Services) * len(cl.cfg.Zones)
			moved := cl.applyPlan()
			assert.Assert(rt, len(moved) <= total-couldStay+max(1, total/rebalanceDivisor))
			cl.checkAssignments(rt)
			cl.planUntilStable(rt)
			cl.checkAssignments(rt)
		}
	})
}

// TestRestartReassignsOnlyCellsOfTheRestartedEntryVM restarts one of 104 entry VMs
// with 1120 cells and expects it to get its 10 or 11 cells back, with no other
// cell moving.
func TestRestartReassignsOnlyCellsOfTheRestartedEntryVM(t *testing.T) {
	cl := newCluster(140, 8)
	for i := range 104 {
		cl.add(fmt.Sprintf("e%03d", i), i%8, 1)
	}
	cl.planUntilStable(t)
	cl.add("e000", 0, 2)
	moved := cl.applyPlan()
	assert.Assert(t, len(moved) >= 10 && len(moved) <= 11, "%d cells moved, want 10 or 11", len(moved))
	for _, c := range moved {
		assert.Equal(t, c.Entry, "e000")
	}
	assert.Equal(t, len(cl.applyPlan()), 0)
	assert.Assert(t, Cells(cl.cfg, nil) == nil)
}

// failureRecorder is an assert.TestingT that records whether a check has failed.
type failureRecorder struct {
	failed bool
}

func (p *failureRecorder) FailNow()   { p.failed = true }
func (p *failureRecorder) Fail()      { p.failed = true }
func (p *failureRecorder) Log(...any) {}

// TestAssignmentCheckDetectsEachViolatedRule changes the cluster without a new plan
// and expects checkAssignments to fail.
func TestAssignmentCheckDetectsEachViolatedRule(t *testing.T) {
	for name, change := range map[string]func(cl *cluster){
		"a restarted entry VM keeps its cells": func(cl *cluster) { cl.add("e0", 0, 2) },
		"a lost entry VM keeps its cells":      func(cl *cluster) { delete(cl.available, "e0") },
		"cells stay outside their zone":        func(cl *cluster) { cl.add("e1", 1, 1) },
		"a new service has no cells":           func(cl *cluster) { cl.cfg.Services = append(cl.cfg.Services, &catalogpb.Service{Name: "t"}) },
	} {
		cl := newCluster(2, 2)
		cl.add("e0", 0, 1)
		cl.add("e2", 0, 1)
		cl.planUntilStable(t)
		cl.checkAssignments(t)
		change(cl)
		var recorder failureRecorder
		cl.checkAssignments(&recorder)
		assert.Assert(t, recorder.failed, name)
	}
}
