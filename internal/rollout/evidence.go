// Package rollout decides about roll-outs, which move the requests of a pool from its
// old software version to a new one. It has no I/O and no clock of its own.
package rollout

import (
	"cmp"
	"slices"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Outcomes counts the outcomes of requests that upstreams have run. Requests that an
// upstream refused without running them, and those whose caller left, are not counted.
type Outcomes struct {
	Requests uint64
	// Failures counts responses that are failures of the upstream, Malformed those that
	// break off or are no valid responses.
	Failures, Malformed uint64
	// Timed counts the responses whose time was compared with the typical time at a
	// similar load: not those that failed, nor those that began in the cold start of the
	// upstream. Slow counts those of them that took several times as long, and
	// SlowdownPermille is the sum over them of response time / typical time, in
	// thousandths.
	Timed, Slow, SlowdownPermille uint64
	// Loaded counts the requests that began at an upstream whose slots were nearly full.
	// LoadedBad counts those of them that are in Failures or Malformed.
	Loaded, LoadedBad uint64
}

// Failed returns the number of answers that are failures or malformed.
func (o Outcomes) Failed() uint64 { return o.Failures + o.Malformed }

// Bad returns the number of bad answers.
func (o Outcomes) Bad() uint64 { return o.Failures + o.Malformed + o.Slow }

// Add returns the sum of o and p.
func (o Outcomes) Add(p Outcomes) Outcomes {
	return Outcomes{
		Requests:         o.Requests + p.Requests,
		Failures:         o.Failures + p.Failures,
		Malformed:        o.Malformed + p.Malformed,
		Timed:            o.Timed + p.Timed,
		Slow:             o.Slow + p.Slow,
		SlowdownPermille: o.SlowdownPermille + p.SlowdownPermille,
		Loaded:           o.Loaded + p.Loaded,
		LoadedBad:        o.LoadedBad + p.LoadedBad,
	}
}

// Cell identifies a counter: the outcomes of requests of one route at one upstream. New
// is set if the upstream runs the target of the roll-out. Upstream may be empty, for
// outcomes that are not kept by upstream.
type Cell struct {
	Route, Upstream string
	New             bool
}

// Evidence contains what one or several gateways have seen of a roll-out, for the old
// and the new version over the same period.
type Evidence map[Cell]Outcomes

// Add adds the outcomes of other to e.
func (e Evidence) Add(other Evidence) {
	for cell, o := range other {
		e[cell] = e[cell].Add(o)
	}
}

// EvidenceOf returns the evidence in a report.
func EvidenceOf(report *clusterpb.RolloutEvidence) Evidence {
	e := make(Evidence)
	add := func(cell Cell, v *clusterpb.VersionOutcomes) {
		if v != nil {
			e[cell] = e[cell].Add(outcomesOf(v))
		}
	}
	for _, r := range report.GetRoutes() {
		add(Cell{Route: r.Route}, r.Old)
		add(Cell{Route: r.Route, New: true}, r.New)
		for _, u := range r.Upstreams {
			add(Cell{Route: r.Route, Upstream: u.Upstream, New: u.New}, u.Outcomes)
		}
	}
	return e
}

// Routes returns the evidence in the form of a report, in a fixed order.
func (e Evidence) Routes() []*clusterpb.RouteEvidence {
	cells := make([]Cell, 0, len(e))
	for cell := range e {
		cells = append(cells, cell)
	}
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Upstream, b.Upstream))
	})
	var list []*clusterpb.RouteEvidence
	for _, cell := range cells {
		if n := len(list); n == 0 || list[n-1].Route != cell.Route {
			list = append(list, &clusterpb.RouteEvidence{Route: cell.Route})
		}
		r, v := list[len(list)-1], e[cell].message()
		switch {
		case cell.Upstream != "":
			r.Upstreams = append(r.Upstreams, &clusterpb.UpstreamEvidence{Upstream: cell.Upstream, New: cell.New, Outcomes: v})
		case cell.New:
			r.New = v
		default:
			r.Old = v
		}
	}
	return list
}

func outcomesOf(v *clusterpb.VersionOutcomes) Outcomes {
	return Outcomes{
		Requests:         v.Requests,
		Failures:         v.Failures,
		Malformed:        v.Malformed,
		Timed:            v.Timed,
		Slow:             v.Slow,
		SlowdownPermille: v.SlowdownPermilleSum,
		Loaded:           v.Loaded,
		LoadedBad:        v.LoadedBad,
	}
}

func (o Outcomes) message() *clusterpb.VersionOutcomes {
	return &clusterpb.VersionOutcomes{
		Requests:            o.Requests,
		Failures:            o.Failures,
		Malformed:           o.Malformed,
		Timed:               o.Timed,
		Slow:                o.Slow,
		SlowdownPermilleSum: o.SlowdownPermille,
		Loaded:              o.Loaded,
		LoadedBad:           o.LoadedBad,
	}
}
