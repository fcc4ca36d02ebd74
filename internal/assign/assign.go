// Package assign decides which entry VM dispatches which cell, and over which
// entry VMs claims are placed. It is pure: equal inputs give equal plans.
package assign

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// maxRebalanceDivisor bounds the cells that one plan moves from an entry VM that
// could keep them, as a share of all cells.
const maxRebalanceDivisor = 20

// Entry is an entry VM that may dispatch cells.
type Entry struct {
	ID          string
	Zone        string
	Region      string
	Incarnation uint64
}

// planner holds the work of one plan.
type planner struct {
	entries map[string]Entry
	// byZone lists the ids in each availability zone, and byRegion those in each
	// region, in order.
	byZone   map[string][]string
	byRegion map[string][]string
	regions  map[string]string
	load     map[string]int
}

// Cells returns the assignments to replace so that each cell of cfg has one of
// the available entry VMs of its region, in its own availability zone if there is
// one there. A cell never leaves its region: its assignment is accepted there
// alone, whatever becomes of the others.
// Cells whose entry VM is available stay where they are, but for a bounded
// number that moves to even out the load. It returns nil when nothing changes
// or no entry VM is available.
func Cells(cfg *catalogpb.Config, available []Entry) []*catalogpb.Cell {
	if len(available) == 0 {
		return nil
	}
	p := newPlanner(cfg, available)
	wanted := wantedCells(cfg)
	kept := make([]*catalogpb.Cell, 0, len(wanted))
	var orphans []*catalogpb.Cell
	for _, c := range wanted {
		if p.canKeep(c) {
			p.load[c.Entry]++
			kept = append(kept, c)
			continue
		}
		orphans = append(orphans, c)
	}
	var plan []*catalogpb.Cell
	for _, c := range orphans {
		if ids := p.candidates(c.Zone); len(ids) > 0 {
			plan = append(plan, p.assign(c, ids))
		}
	}
	return append(plan, p.rebalance(kept, len(wanted))...)
}

func newPlanner(cfg *catalogpb.Config, available []Entry) *planner {
	p := &planner{
		entries:  make(map[string]Entry, len(available)),
		byZone:   make(map[string][]string),
		byRegion: make(map[string][]string),
		regions:  make(map[string]string, len(cfg.Zones)),
		load:     make(map[string]int, len(available)),
	}
	for _, z := range cfg.Zones {
		p.regions[z.Name] = z.Region
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

// cellName is the comparable name of a cell.
type cellName struct {
	service string
	zone    string
	shard   uint32
}

// wantedCells returns every cell of the configuration, with its present
// assignment if it has one, ordered by service, availability zone and shard.
func wantedCells(cfg *catalogpb.Config) []*catalogpb.Cell {
	present := make(map[cellName]*catalogpb.Cell, len(cfg.Cells))
	for _, c := range cfg.Cells {
		present[cellName{c.Service, c.Zone, c.Shard}] = c
	}
	var wanted []*catalogpb.Cell
	for _, s := range cfg.Services {
		for _, z := range cfg.Zones {
			for shard := range max(s.Shards, 1) {
				c := present[cellName{s.Name, z.Name, shard}]
				if c == nil {
					c = &catalogpb.Cell{Service: s.Name, Zone: z.Name, Shard: shard}
				}
				wanted = append(wanted, c)
			}
		}
	}
	return wanted
}

// canKeep reports whether the cell may stay: its entry VM is available in the
// same incarnation, and in the cell's availability zone if any is.
func (p *planner) canKeep(c *catalogpb.Cell) bool {
	e, ok := p.entries[c.Entry]
	if !ok || e.Incarnation != c.Incarnation || e.Region != p.regions[c.Zone] {
		return false
	}
	return e.Zone == c.Zone || len(p.byZone[c.Zone]) == 0
}

// candidates returns the entry VMs that may dispatch cells of the zone.
func (p *planner) candidates(zone string) []string {
	var near []string
	for _, id := range p.byZone[zone] {
		if p.entries[id].Region == p.regions[zone] {
			near = append(near, id)
		}
	}
	if len(near) > 0 {
		return near
	}
	return p.byRegion[p.regions[zone]]
}

// assign gives the cell to the candidate with the fewest cells. A restarted
// entry VM gets its own cell back unless it has more than another.
func (p *planner) assign(c *catalogpb.Cell, ids []string) *catalogpb.Cell {
	best := slices.MinFunc(ids, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.load[a], p.load[b]),
			cmp.Compare(rank(c, b, c.Entry), rank(c, a, c.Entry)),
			cmp.Compare(a, b),
		)
	})
	return p.give(c, best)
}

// rank orders entry VMs of equal load for a cell: its last holder first, then
// by rendezvous hash.
func rank(c *catalogpb.Cell, id, holder string) uint64 {
	if id == holder {
		return ^uint64(0)
	}
	return xxhash.Sum64String(c.Service + "/" + c.Zone + "/" + strconv.Itoa(int(c.Shard)) + "/" + id)
}

func (p *planner) give(c *catalogpb.Cell, id string) *catalogpb.Cell {
	p.load[id]++
	return &catalogpb.Cell{
		Service:     c.Service,
		Zone:        c.Zone,
		Shard:       c.Shard,
		Entry:       id,
		Incarnation: p.entries[id].Incarnation,
	}
}

// rebalance moves cells from the entry VM with the most to the one with the
// fewest among the candidates of their availability zone.
func (p *planner) rebalance(kept []*catalogpb.Cell, total int) []*catalogpb.Cell {
	budget := max(1, total/maxRebalanceDivisor)
	var plan []*catalogpb.Cell
	for _, c := range kept {
		if len(plan) == budget {
			break
		}
		ids := p.candidates(c.Zone)
		least := slices.MinFunc(ids, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.load[a], p.load[b]), cmp.Compare(a, b))
		})
		if p.load[c.Entry] < p.load[least]+2 {
			continue
		}
		p.load[c.Entry]--
		plan = append(plan, p.give(c, least))
	}
	return plan
}

// ClaimMembers returns the ids of the available entry VMs in order.
func ClaimMembers(available []Entry) []string {
	ids := make([]string, len(available))
	for i, e := range available {
		ids[i] = e.ID
	}
	slices.Sort(ids)
	return ids
}
