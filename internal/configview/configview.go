// Package configview provides an immutable, indexed view of one configuration that
// any number of goroutines can read.
package configview

import (
	"strings"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// CellKey identifies a cell: the upstreams of one service in one zone, or
// one shard of them.
type CellKey struct {
	Service string
	Zone    string
	Shard   uint32
}

// View is an immutable index of one configuration. Neither the View nor its
// Config may be changed after New has returned.
type View struct {
	// Config is the indexed configuration.
	Config *catalogpb.Config

	services map[string]*catalogpb.Service
	// prefixes holds the services by path prefix without a trailing slash.
	prefixes       map[string]*catalogpb.Service
	zones          map[string]*catalogpb.Zone
	entries        map[string]*catalogpb.Entry
	rules          map[string][]*catalogpb.Rule
	cells          map[CellKey]*catalogpb.Cell
	cellsByService map[string][]*catalogpb.Cell
}

// New returns a View of cfg.
func New(cfg *catalogpb.Config) *View {
	v := &View{
		Config:         cfg,
		services:       make(map[string]*catalogpb.Service, len(cfg.Services)),
		prefixes:       make(map[string]*catalogpb.Service, len(cfg.Services)),
		zones:          make(map[string]*catalogpb.Zone, len(cfg.Zones)),
		entries:        make(map[string]*catalogpb.Entry, len(cfg.Entries)),
		rules:          make(map[string][]*catalogpb.Rule),
		cells:          make(map[CellKey]*catalogpb.Cell, len(cfg.Cells)),
		cellsByService: make(map[string][]*catalogpb.Cell, len(cfg.Services)),
	}
	for _, s := range cfg.Services {
		v.services[s.Name] = s
		v.prefixes[strings.TrimSuffix(s.PathPrefix, "/")] = s
	}
	for _, z := range cfg.Zones {
		v.zones[z.Name] = z
	}
	for _, e := range cfg.Entries {
		v.entries[e.Id] = e
	}
	for _, r := range cfg.Rules {
		v.rules[r.Service] = append(v.rules[r.Service], r)
	}
	for _, c := range cfg.Cells {
		v.cells[CellKey{c.Service, c.Zone, c.Shard}] = c
		v.cellsByService[c.Service] = append(v.cellsByService[c.Service], c)
	}
	return v
}

// Revision returns the revision of the configuration.
func (v *View) Revision() uint64 { return v.Config.Revision }

// Service returns the service with the given name, or nil.
func (v *View) Service(name string) *catalogpb.Service { return v.services[name] }

// ServiceForPath returns the service with the longest path prefix that
// matches path, or nil. Prefixes match whole path segments.
func (v *View) ServiceForPath(path string) *catalogpb.Service {
	for {
		if s, ok := v.prefixes[path]; ok {
			return s
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

// Zone returns the availability zone with the given name, or nil.
func (v *View) Zone(name string) *catalogpb.Zone { return v.zones[name] }

// ZoneOpen reports whether upstreams in the zone may receive new requests.
// It is false for an unknown zone.
func (v *View) ZoneOpen(name string) bool {
	z := v.zones[name]
	if z == nil {
		return false
	}
	return z.State == catalogpb.ZoneState_ZONE_STATE_IN || z.State == catalogpb.ZoneState_ZONE_STATE_RETURNING
}

// Entry returns the registered entry VM with the given id, or nil.
func (v *View) Entry(id string) *catalogpb.Entry { return v.entries[id] }

// Rules returns the rules of a service in the order of the configuration.
func (v *View) Rules(service string) []*catalogpb.Rule { return v.rules[service] }

// Cell returns the cell with the given key, or nil.
func (v *View) Cell(key CellKey) *catalogpb.Cell { return v.cells[key] }

// Cells returns all cells of a service.
func (v *View) Cells(service string) []*catalogpb.Cell { return v.cellsByService[service] }

// Source provides the configuration in force. Its methods are safe for
// concurrent use.
type Source interface {
	// View returns the configuration in force, or nil before the first one
	// has been received.
	View() *View
	// Fresh reports whether new requests may be admitted under this
	// configuration at the moment.
	Fresh() bool
}
