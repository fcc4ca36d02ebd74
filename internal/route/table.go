// Package route selects the route of a request and the pool that serves it.
//
// The package is pure: a Table is an immutable index over the routes of one
// desired state.
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

// Route is one route of the desired state in force.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Kind names the kind of the route: safe, unsafe or upload.
	Kind string
	// Repeatable is set when a request may run more than once.
	Repeatable bool
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full use.
	TargetLatency time.Duration
	// Priority orders routes; 0 goes first.
	Priority int
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int

	shares []share
	// drawn counts the requests that were given a pool.
	drawn atomic.Uint64
	// phase is where the sequence of draws of this process starts.
	phase float64
}

// share is a pool with the upper end of its part of the unit interval.
type share struct {
	pool string
	upTo float64
}

// Table is the index of the routes by host.
type Table struct {
	version uint64
	hosts   map[string][]*Route
}

// NewTable returns the index for the routes of cfg. phase, in [0, 1), sets
// where the draws of this process start, so that processes that have started
// together do not all begin with the same pool.
func NewTable(cfg *catalogpb.Config, phase float64) *Table {
	t := &Table{version: cfg.StateVersion, hosts: make(map[string][]*Route)}
	for _, r := range cfg.Routes {
		host := canonical(r.Host)
		t.hosts[host] = append(t.hosts[host], newRoute(r, phase))
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Version returns the version of the desired state.
func (t *Table) Version() uint64 { return t.version }

func kindName(k catalogpb.RouteKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "ROUTE_KIND_"))
}

func newRoute(r *catalogpb.Route, phase float64) *Route {
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
		phase:         phase,
	}
	sum := 0.0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	upTo := 0.0
	for _, s := range r.Shares {
		if s.Weight > 0 {
			upTo += s.Weight / sum
			out.shares = append(out.shares, share{s.Pool, upTo})
		}
	}
	return out
}

// canonical returns the form of a host that is compared: lower case, without
// port.
func canonical(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Lookup returns the route of the host with the longest prefix of path, or
// nil.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.hosts[canonical(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// goldenRatio spaces the draws evenly: any run of them meets the weights more
// closely than random draws would.
const goldenRatio = 0.6180339887498949

// NextPool returns the pool for the next request, in proportion to the weights.
func (r *Route) NextPool() string {
	if len(r.shares) == 1 {
		return r.shares[0].pool
	}
	n := r.drawn.Add(1)
	at := math.Mod(r.phase+float64(n)*goldenRatio, 1)
	for _, s := range r.shares {
		if at < s.upTo {
			return s.pool
		}
	}
	return r.shares[len(r.shares)-1].pool
}
