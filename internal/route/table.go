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
	version      uint64
	routesByHost map[string][]*Route
}

// NewTable returns the index of the routes in cfg. offset, in [0, 1), is the
// start of the sequence that NextPool uses. It should differ between processes,
// so that those started together do not all begin with the same pool.
func NewTable(cfg *catalogpb.Config, offset float64) *Table {
	t := &Table{version: cfg.StateVersion, routesByHost: make(map[string][]*Route)}
	for _, r := range cfg.Routes {
		host := canonicalHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], newRoute(r, offset))
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Version returns the version of the desired state that the table was made
// from.
func (t *Table) Version() uint64 { return t.version }

func kindName(k catalogpb.RouteKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "ROUTE_KIND_"))
}

func newRoute(r *catalogpb.Route, offset float64) *Route {
	out := &Route{
		Name:          r.Name,
		Host:          r.Host,
		PathPrefix:    r.PathPrefix,
		Kind:          kindName(r.Kind),
		Repeatable:    r.Kind == catalogpb.RouteKind_ROUTE_KIND_SAFE,
		Timeout:       time.Duration(r.TimeoutMs) * time.Millisecond,
		TargetLatency: time.Duration(r.TargetLatencyMs) * time.Millisecond,
		Priority:      int(r.Priority),
		MaxAttempts:   int(r.MaxAttempts),
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
	for _, r := range t.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
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
