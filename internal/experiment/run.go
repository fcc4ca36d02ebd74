package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"balsamcourse.example/balsamcourse/internal/load"
	"balsamcourse.example/balsamcourse/internal/lookup"
)

// Plan lists what to run.
type Plan struct {
	Deployments []Deployment
	Policies    []string
	// Loads are shares of all slots.
	Loads []float64
	// Faults are played at FaultLoad.
	Faults    []Fault
	FaultLoad float64
	// HeavyTailed adds runs with heavy-tailed service times at FaultLoad.
	HeavyTailed bool
	// Duration is that of one run, Warmup included.
	Duration time.Duration
	Warmup   time.Duration
}

// Row is the result of one run.
type Row struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Times      string  `json:"service_times"`
	Load       float64 `json:"load"`
	Fault      Fault   `json:"fault"`
	// ProbeShare and ConnectShare are shares of slot time.
	ProbeShare   float64 `json:"probe_share"`
	ConnectShare float64 `json:"connect_share"`
	// PeakCold is the most requests in flight at an upstream in cold start,
	// and Breaches the number of requests above its bound.
	PeakCold int64 `json:"peak_cold"`
	Breaches int64 `json:"cold_breaches"`
	// Cuts counts warm upstreams that lost slots on suspicion, a report or
	// leaving.
	Cuts int64 `json:"cuts"`
	// Overloads counts requests that met an upstream with all slots in use.
	Overloads int64       `json:"overloads"`
	Report    load.Report `json:"report"`
}

// Run carries out the plan and writes a line of the table for each run. The
// policies of one setting follow one another directly.
func Run(ctx context.Context, plan Plan, out io.Writer) ([]Row, error) {
	header(out)
	var rows []Row
	for _, d := range plan.Deployments {
		for _, heavy := range []bool{false, true} {
			if heavy && !plan.HeavyTailed {
				continue
			}
			for _, policy := range plan.Policies {
				more, err := runPolicy(ctx, plan, d, policy, heavy, out)
				rows = append(rows, more...)
				if err != nil {
					return rows, errors.Annotatef(err, "%s under %s", d.Name, policy)
				}
			}
		}
	}
	return rows, nil
}

// runPolicy runs every load and fault on one system.
func runPolicy(ctx context.Context, plan Plan, d Deployment, policy string, heavy bool, out io.Writer) ([]Row, error) {
	draw, times := exponential, "exponential"
	loads := plan.Loads
	if heavy {
		draw, times, loads = heavyTailed, "heavy", []float64{plan.FaultLoad}
	}
	s, err := startAgain(ctx, d, policy, draw)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer s.stop()
	var rows []Row
	run := func(share float64, f Fault) error {
		row, err := s.measure(ctx, plan, share, f)
		if err != nil {
			return errors.Trace(err)
		}
		row.Policy, row.Times = policy, times
		rows = append(rows, row)
		row.print(out)
		return nil
	}
	for _, share := range loads {
		if err := run(share, NoFault); err != nil {
			return rows, err
		}
	}
	if heavy {
		return rows, nil
	}
	for _, f := range plan.Faults {
		share := plan.FaultLoad
		if f == ZoneOut {
			share = zoneLoad
		}
		if err := run(share, f); err != nil {
			return rows, err
		}
	}
	return rows, nil
}

// startTries bounds the attempts to start a system: another process may take a
// port between its reservation and its use.
const startTries = 3

func startAgain(ctx context.Context, d Deployment, policy string, draw func(*rand.Rand) time.Duration) (*system, error) {
	var last error
	for range startTries {
		s, err := start(ctx, d, policy, draw)
		if err == nil {
			return s, nil
		}
		last = err
	}
	return nil, errors.Trace(last)
}

// measure runs one load under one fault.
func (s *system) measure(ctx context.Context, plan Plan, share float64, f Fault) (Row, error) {
	for _, u := range s.upstreams {
		u.PeakColdInFlight.Store(0)
		u.ColdLimitBreaches.Store(0)
		u.Overloads.Store(0)
		u.Probes.Store(0)
	}
	before := s.net.connections.Load()
	s.cuts.n.Store(0)
	faults, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() {
		if wait(faults, plan.Warmup) {
			s.play(faults, f)
		}
	})
	report, err := s.load(ctx, share, plan.Duration, plan.Warmup)
	cancel()
	wg.Wait()
	if err != nil {
		return Row{}, errors.Trace(err)
	}
	return s.row(plan, share, f, report, s.net.connections.Load()-before), nil
}

// load sends calls at a share of the capacity.
func (s *system) load(ctx context.Context, share float64, duration, warmup time.Duration) (load.Report, error) {
	return load.Run(ctx, load.Plan{
		Service: s.d.Service, Targets: s.targets(), Rate: share * s.d.capacity(),
		Duration: duration, Warmup: warmup, Path: "/" + s.d.Service + "/list",
		Timeout: callTimeout, Seed: loadSeed,
	})
}

// targets returns the callers' side of all entry VMs.
func (s *system) targets() []lookup.Entry {
	var all []lookup.Entry
	for i, c := range s.callers {
		all = append(all, lookup.Entry{ID: fmt.Sprintf("entry-%02d", i), Address: c, Weight: 1})
	}
	return all
}

// loadSeed fixes the arrivals, so that all policies get the same.
const loadSeed = 11

func (s *system) row(plan Plan, share float64, f Fault, report load.Report, connections int64) Row {
	slotTime := plan.Duration * time.Duration(s.d.Upstreams*s.d.Slots)
	r := Row{Deployment: s.d.Name, Load: share, Fault: f, Report: report, Cuts: s.cuts.n.Load()}
	var probes int64
	for _, u := range s.upstreams {
		probes += u.Probes.Load()
		r.PeakCold = max(r.PeakCold, u.PeakColdInFlight.Load())
		r.Breaches += u.ColdLimitBreaches.Load()
		r.Overloads += u.Overloads.Load()
	}
	r.ProbeShare = float64(time.Duration(probes)*probeCost) / float64(slotTime)
	r.ConnectShare = float64(time.Duration(connections)*connectCost) / float64(slotTime)
	return r
}

func header(out io.Writer) {
	fmt.Fprintln(out, "| deployment | times | load | fault | policy | p50 ms | p99 ms | p99.9 ms | answered % | goodput/s | refused | failed | probes % | connects % | cold peak | cold breaches | over slots | cuts |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

// print writes the row as a line of a Markdown table.
func (r Row) print(out io.Writer) {
	p := r.Report
	answered := 100 * float64(p.Answered) / float64(max(1, p.Arrived))
	fmt.Fprintf(out, "| %s | %s | %.2f | %s | %s | %.0f | %.0f | %.0f | %.2f | %.0f | %d | %d | %.3f | %.3f | %d | %d | %d | %d |\n",
		r.Deployment, r.Times, r.Load, r.Fault, r.Policy, p.Latency.P50Ms, p.Latency.P99Ms, p.Latency.P999Ms, answered,
		p.Goodput, p.Refused, p.Failed, 100*r.ProbeShare, 100*r.ConnectShare, r.PeakCold, r.Breaches, r.Overloads, r.Cuts)
}
