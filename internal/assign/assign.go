// Package assign decides which entry VM dispatches each cell, and which entry VMs
// store claims. Its functions are pure: equal inputs give equal plans.
package assign

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// rebalanceDivisor limits rebalancing: one plan moves at most the total number of
// cells divided by it, and at least one, from entry VMs that could keep them.
const rebalanceDivisor = 20

// Entry is an entry VM to which cells can be assigned.
type Entry struct {
	ID          string
	Zone        string
	Region      string
	Incarnation uint64
}

// planner computes one plan.
type planner struct {
	entries map[string]Entry
	// byZone and byRegion list the ids of the available entry VMs of each
	// availability zone and each region in ascending order.
	byZone       map[string][]string
	byRegion     map[string][]string
	regionOfZone map[string]string
	cellCount    map[string]int
}

// Cells returns the new and changed assignments that give each cell of cfg an
// available entry VM of its region, in its own availability zone if that has one.
// A cell never leaves its region, so that its assignment can be accepted by the
// entry VMs of that region even when other regions are unreachable.
//
// Cells whose entry VM is still available keep it, except for a limited number
// that move to balance the number of cells per entry VM. Cells returns nil if no
// assignment changes or no entry VM is available.
func Cells(cfg *catalogpb.Config, available []Entry) []*catalogpb.Cell {
	if len(available) == 0 {
		return nil
	}
	p := newPlanner(cfg, available)
	cells := requiredCells(cfg)
	kept := make([]*catalogpb.Cell, 0, len(cells))
	var unassigned []*catalogpb.Cell
	for _, c := range cells {
		if p.canKeep(c) {
			p.cellCount[c.Entry]++
			kept = append(kept, c)
			continue
		}
		unassigned = append(unassigned, c)
	}
	var plan []*catalogpb.Cell
	for _, c := range unassigned {
		if ids := p.candidates(c.Zone); len(ids) > 0 {
			plan = append(plan, p.assignToLeastLoaded(c, ids))
		}
	}
	return append(plan, p.rebalance(kept, len(cells))...)
}

func newPlanner(cfg *catalogpb.Config, available []Entry) *planner {
	p := &planner{
		entries:      make(map[string]Entry, len(available)),
		byZone:       make(map[string][]string),
		byRegion:     make(map[string][]string),
		regionOfZone: make(map[string]string, len(cfg.Zones)),
		cellCount:    make(map[string]int, len(available)),
	}
	for _, z := range cfg.Zones {
		p.regionOfZone[z.Name] = z.Region
	}
	for _, e := range available {
		p.entries[e.ID] = e
		p.byZone[e.Zone] = append(p.byZone[e.Zone], e.ID)
		p.byRegion[e.Region] = append(p.byRegion[e.Region], e.ID)
	}
	for _, ids := range p.byZone {
		slices.Sort(ids)
	}
	for _, ids := range p.byRegion {
		slices.Sort(ids)
	}
	return p
}

// cellKey identifies a cell.
type cellKey struct {
	service string
	zone    string
	shard   uint32
}

// requiredCells returns every cell that the services and zones of cfg require, with
// its current assignment if it has one, in the order of the configuration's
// services and zones and of the shards.
func requiredCells(cfg *catalogpb.Config) []*catalogpb.Cell {
	assigned := make(map[cellKey]*catalogpb.Cell, len(cfg.Cells))
	for _, c := range cfg.Cells {
		assigned[cellKey{c.Service, c.Zone, c.Shard}] = c
	}
	var all []*catalogpb.Cell
	for _, s := range cfg.Services {
		for _, z := range cfg.Zones {
			for shard := range max(s.Shards, 1) {
				c := assigned[cellKey{s.Name, z.Name, shard}]
				if c == nil {
					c = &catalogpb.Cell{Service: s.Name, Zone: z.Name, Shard: shard}
				}
				all = append(all, c)
			}
		}
	}
	return all
}

// canKeep reports whether the cell may stay assigned to its entry VM: the entry VM
// is available with the same incarnation in the cell's region, and it is in the
// cell's availability zone if any entry VM is.
func (p *planner) canKeep(c *catalogpb.Cell) bool {
	e, ok := p.entries[c.Entry]
	if !ok || e.Incarnation != c.Incarnation || e.Region != p.regionOfZone[c.Zone] {
		return false
	}
	return e.Zone == c.Zone || len(p.byZone[c.Zone]) == 0
}

// candidates returns the entry VMs that may dispatch cells of the zone: those in
// the zone, or those in its region if the zone has none.
func (p *planner) candidates(zone string) []string {
	var local []string
	for _, id := range p.byZone[zone] {
		if p.entries[id].Region == p.regionOfZone[zone] {
			local = append(local, id)
		}
	}
	if len(local) > 0 {
		return local
	}
	return p.byRegion[p.regionOfZone[zone]]
}

// assignToLeastLoaded assigns the cell to the candidate with the fewest cells. At
// equal numbers the previous entry VM is preferred, so that one that restarted
// gets its cells back unless it has more cells than another.
func (p *planner) assignToLeastLoaded(c *catalogpb.Cell, ids []string) *catalogpb.Cell {
	best := slices.MinFunc(ids, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.cellCount[a], p.cellCount[b]),
			cmp.Compare(tiePriority(c, b, c.Entry), tiePriority(c, a, c.Entry)),
			cmp.Compare(a, b),
		)
	})
	return p.assignTo(c, best)
}

// tiePriority ranks entry VMs that have equal numbers of cells: the previous holder
// of the cell is highest, and the others follow by rendezvous hash.
func tiePriority(c *catalogpb.Cell, id, holder string) uint64 {
	if id == holder {
		return ^uint64(0)
	}
	return xxhash.Sum64String(c.Service + "/" + c.Zone + "/" + strconv.Itoa(int(c.Shard)) + "/" + id)
}

// assignTo returns the assignment of the cell to an entry VM and counts it.
func (p *planner) assignTo(c *catalogpb.Cell, id string) *catalogpb.Cell {
	p.cellCount[id]++
	return &catalogpb.Cell{
		Service:     c.Service,
		Zone:        c.Zone,
		Shard:       c.Shard,
		Entry:       id,
		Incarnation: p.entries[id].Incarnation,
	}
}

// rebalance moves cells to the candidate of their availability zone with the fewest
// cells, if their entry VM has at least two more. It moves at most
// total/rebalanceDivisor cells, or one if that is 0.
func (p *planner) rebalance(kept []*catalogpb.Cell, total int) []*catalogpb.Cell {
	budget := max(1, total/rebalanceDivisor)
	var plan []*catalogpb.Cell
	for _, c := range kept {
		if len(plan) == budget {
			break
		}
		ids := p.candidates(c.Zone)
		least := slices.MinFunc(ids, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.cellCount[a], p.cellCount[b]), cmp.Compare(a, b))
		})
		if p.cellCount[c.Entry] < p.cellCount[least]+2 {
			continue
		}
		p.cellCount[c.Entry]--
		plan = append(plan, p.assignTo(c, least))
	}
	return plan
}

// ClaimMembers returns the ids of the entry VMs that store claims, in ascending
// order. These are all available ones.
func ClaimMembers(available []Entry) []string {
	ids := make([]string, len(available))
	for i, e := range available {
		ids[i] = e.ID
	}
	slices.Sort(ids)
	return ids
}
