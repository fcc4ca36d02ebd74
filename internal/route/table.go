// Package route matches requests to routes and selects the pool that serves a
// request.
//
// A Table is an immutable index over the routes of one version of the desired
// state.
package route

import (
	"cmp"
	"math"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/organisation"
)

// Route is a route of the desired state.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Kind is the kind of the route in lower case: safe, unsafe or upload.
	Kind string
	// Repeatable is set when a request may be executed more than once.
	Repeatable bool
	// Timeout is the maximum time until the complete response.
	Timeout time.Duration
	// TargetLatency is the time within which a response is fully useful to the
	// caller.
	TargetLatency time.Duration
	// Priority orders the calls that wait for an upstream; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of upstreams that may execute the same
	// request.
	MaxAttempts int
	// Public is set when requests need no API key.
	Public bool

	shares []poolShare
	// picks counts the requests that NextPool has distributed over several
	// pools.
	picks atomic.Uint64
	// offset is the start of the sequence of positions, in [0, 1).
	offset float64
}

// poolShare assigns a part of the interval [0, 1) to a pool. upperBound is the
// exclusive end of the part; it begins at the end of the previous one.
type poolShare struct {
	pool       string
	upperBound float64
}

// Table is an index of the routes by host.
type Table struct {
	version uint64
	hosts   map[string]*hostRoutes
	// organisations are those of the same version, so that a request is not checked
	// against the routes of one version and the keys of another.
	organisations *organisation.Index
}

// hostRoutes is an index of the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	// lengths holds the different lengths of the prefixes, longest first.
	lengths []int
}

// NewTable returns the index of the routes in cfg. offset, in [0, 1), is the
// start of the sequence that NextPool uses. It should differ between processes,
// so that those started together do not all begin with the same pool.
func NewTable(cfg *catalogpb.Config, offset float64) *Table {
	t := &Table{version: cfg.StateVersion, hosts: make(map[string]*hostRoutes), organisations: organisation.NewIndex(cfg.Organisations)}
	hostsByName := make(map[string]*hostRoutes)
	for _, r := range cfg.Routes {
		routes := hostsByName[r.Host]
		if routes == nil {
			routes = t.addHost(canonicalHost(r.Host))
			hostsByName[r.Host] = routes
		}
		routes.add(newRoute(r, offset))
	}
	return t
}

// addHost returns the routes of a host, which are empty if it is new.
func (t *Table) addHost(host string) *hostRoutes {
	if t.hosts[host] == nil {
		t.hosts[host] = &hostRoutes{byPrefix: make(map[string]*Route)}
	}
	return t.hosts[host]
}

// add adds a route unless there is one with the same prefix.
func (h *hostRoutes) add(r *Route) {
	if h.byPrefix[r.PathPrefix] != nil {
		return
	}
	h.byPrefix[r.PathPrefix] = r
	longestFirst := func(a, b int) int { return cmp.Compare(b, a) }
	if i, known := slices.BinarySearchFunc(h.lengths, len(r.PathPrefix), longestFirst); !known {
		h.lengths = slices.Insert(h.lengths, i, len(r.PathPrefix))
	}
}

// Version returns the version of the desired state that the table was made
// from.
func (t *Table) Version() uint64 { return t.version }

// Organisations returns the organisations of that version.
func (t *Table) Organisations() *organisation.Index { return t.organisations }

// kindNames holds the names of the kinds of routes in lower case.
var kindNames = newKindNames()

func newKindNames() map[catalogpb.RouteKind]string {
	names := make(map[catalogpb.RouteKind]string, len(catalogpb.RouteKind_name))
	for number, name := range catalogpb.RouteKind_name {
		names[catalogpb.RouteKind(number)] = strings.ToLower(strings.TrimPrefix(name, "ROUTE_KIND_"))
	}
	return names
}

func newRoute(r *catalogpb.Route, offset float64) *Route {
	out := &Route{
		Name:          r.Name,
		Host:          r.Host,
		PathPrefix:    r.PathPrefix,
		Kind:          kindNames[r.Kind],
		Repeatable:    r.Kind == catalogpb.RouteKind_ROUTE_KIND_SAFE,
		Timeout:       time.Duration(r.TimeoutMs) * time.Millisecond,
		TargetLatency: time.Duration(r.TargetLatencyMs) * time.Millisecond,
		Priority:      int(r.Priority),
		MaxAttempts:   int(r.MaxAttempts),
		Public:        r.Public,
		offset:        offset,
	}
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	upperBound := 0.0
	for _, s := range r.Shares {
		if s.Weight > 0 {
			upperBound += s.Weight / sum
			out.shares = append(out.shares, poolShare{s.Pool, upperBound})
		}
	}
	return out
}

// canonicalHost returns host in lower case and without its port.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Lookup returns the route of the host with the longest prefix of path, or nil
// if none matches.
func (t *Table) Lookup(host, path string) *Route {
	routes := t.hosts[canonicalHost(host)]
	if routes == nil {
		return nil
	}
	for _, n := range routes.lengths {
		if n > len(path) {
			continue
		}
		if r := routes.byPrefix[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}

// goldenRatio is the step between consecutive positions, modulo 1. This spreads
// any run of positions evenly over the interval, so that the pools meet their
// weights more closely than with random numbers.
const goldenRatio = 0.6180339887498949

// NextPool returns the pool for the next request. The pools are returned in
// proportion to their weights. It is safe for concurrent use.
func (r *Route) NextPool() string {
	if len(r.shares) == 1 {
		return r.shares[0].pool
	}
	n := r.picks.Add(1)
	position := math.Mod(r.offset+float64(n)*goldenRatio, 1)
	for _, s := range r.shares {
		if position < s.upperBound {
			return s.pool
		}
	}
	return r.shares[len(r.shares)-1].pool
}
