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

// Plan configures a series of runs.
type Plan struct {
	Deployments []Deployment
	Policies    []string
	// Loads are the loads without faults, as shares of the capacity of all
	// slots.
	Loads []float64
	// Faults are injected at the load FaultLoad, except for ZoneOutage, which
	// has a fixed load.
	Faults    []Fault
	FaultLoad float64
	// HeavyTailed adds runs with heavy-tailed service times at FaultLoad.
	HeavyTailed bool
	// Duration is the length of one run, Warmup included.
	Duration time.Duration
	Warmup   time.Duration
}

// Row is the result of one run, as a row of the table.
type Row struct {
	Deployment   string  `json:"deployment"`
	Policy       string  `json:"policy"`
	ServiceTimes string  `json:"service_times"`
	Load         float64 `json:"load"`
	Fault        Fault   `json:"fault"`
	// ProbeShare and ConnectShare are the shares of slot time spent on probes
	// and on accepting connections.
	ProbeShare   float64 `json:"probe_share"`
	ConnectShare float64 `json:"connect_share"`
	// PeakColdInFlight is the largest number of requests in flight at an
	// upstream in cold start, and ColdLimitBreaches the number of requests
	// that exceeded the limit of such an upstream.
	PeakColdInFlight  int64 `json:"peak_cold"`
	ColdLimitBreaches int64 `json:"cold_breaches"`
	// SlotLosses counts how often a warm upstream lost slots because it was
	// suspected to be cold, reported a cold start or left.
	SlotLosses int64 `json:"cuts"`
	// Overloads counts requests that reached an upstream with all slots in
	// use.
	Overloads int64 `json:"overloads"`
	// Unwanted counts requests that reached an upstream after it had said that it
	// leaves, or during a pause that it had asked for.
	Unwanted int64       `json:"unwanted"`
	Report   load.Report `json:"report"`
}

// Run executes the plan and writes a Markdown table to out, with one row for
// each run. The runs of all policies on one deployment follow one another
// directly, so that they are measured under similar conditions. On an error, Run
// also returns the rows measured so far.
func Run(ctx context.Context, plan Plan, out io.Writer) ([]Row, error) {
	printHeader(out)
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
					return rows, errors.Annotatef(err, "run deployment %s with policy %s", d.Name, policy)
				}
			}
		}
	}
	return rows, nil
}

// runPolicy measures every load and fault on one system.
func runPolicy(ctx context.Context, plan Plan, d Deployment, policy string, heavy bool, out io.Writer) ([]Row, error) {
	draw, times := exponential, "exponential"
	loads := plan.Loads
	if heavy {
		draw, times, loads = heavyTailed, "heavy", []float64{plan.FaultLoad}
	}
	s, err := startWithRetry(ctx, d, policy, draw)
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
		row.Policy, row.ServiceTimes = policy, times
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
		if f == ZoneOutage {
			share = zoneOutageLoad
		}
		if err := run(share, f); err != nil {
			return rows, err
		}
	}
	return rows, nil
}

// maxStartAttempts limits the attempts to start a system. An attempt can fail
// because another process takes a port between its reservation and its use.
const maxStartAttempts = 3

func startWithRetry(ctx context.Context, d Deployment, policy string, draw func(*rand.Rand) time.Duration) (*system, error) {
	var last error
	for range maxStartAttempts {
		s, err := start(ctx, d, policy, draw)
		if err == nil {
			return s, nil
		}
		last = err
	}
	return nil, errors.Trace(last)
}

// measure runs one load with one fault, which is injected after the warm-up.
func (s *system) measure(ctx context.Context, plan Plan, share float64, f Fault) (Row, error) {
	for _, u := range s.upstreams {
		u.PeakColdInFlight.Store(0)
		u.ColdLimitBreaches.Store(0)
		u.Overloads.Store(0)
		u.Unwanted.Store(0)
		u.Probes.Store(0)
	}
	before := s.network.upstreamConnections.Load()
	s.slotLosses.n.Store(0)
	faults, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() {
		if sleep(faults, plan.Warmup) {
			s.injectFaults(faults, f)
		}
	})
	report, err := s.load(ctx, share, plan.Duration, plan.Warmup)
	cancel()
	wg.Wait()
	if err != nil {
		return Row{}, errors.Trace(err)
	}
	return s.row(plan, share, f, report, s.network.upstreamConnections.Load()-before), nil
}

// load sends calls at the given share of the capacity.
func (s *system) load(ctx context.Context, share float64, duration, warmup time.Duration) (load.Report, error) {
	return load.Run(ctx, load.Plan{
		Service: s.deployment.Service, Targets: s.targets(), Rate: share * s.deployment.capacity(),
		Duration: duration, Warmup: warmup, Path: "/" + s.deployment.Service + "/list",
		Timeout: callTimeout, Seed: loadSeed,
	})
}

// targets returns the addresses at which the entry VMs serve callers.
func (s *system) targets() []lookup.Entry {
	var all []lookup.Entry
	for i, c := range s.callerAddresses {
		all = append(all, lookup.Entry{ID: fmt.Sprintf("entry-%02d", i), Address: c, Weight: 1})
	}
	return all
}

// loadSeed is the seed of the arrival times. It is fixed, so that all policies
// get the same arrivals.
const loadSeed = 11

func (s *system) row(plan Plan, share float64, f Fault, report load.Report, connections int64) Row {
	slotTime := plan.Duration * time.Duration(s.deployment.Upstreams*s.deployment.Slots)
	r := Row{Deployment: s.deployment.Name, Load: share, Fault: f, Report: report, SlotLosses: s.slotLosses.n.Load()}
	var probes int64
	for _, u := range s.upstreams {
		probes += u.Probes.Load()
		r.PeakColdInFlight = max(r.PeakColdInFlight, u.PeakColdInFlight.Load())
		r.ColdLimitBreaches += u.ColdLimitBreaches.Load()
		r.Overloads += u.Overloads.Load()
		r.Unwanted += u.Unwanted.Load()
	}
	r.ProbeShare = float64(time.Duration(probes)*probeCost) / float64(slotTime)
	r.ConnectShare = float64(time.Duration(connections)*connectionCost) / float64(slotTime)
	return r
}

func printHeader(out io.Writer) {
	fmt.Fprintln(out, "| deployment | times | load | fault | policy | p50 ms | p99 ms | p99.9 ms | answered % | goodput/s | refused | failed | probes % | connects % | cold peak | cold breaches | over slots | cuts | unwanted |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

// print writes the row as a row of a Markdown table.
func (r Row) print(out io.Writer) {
	p := r.Report
	answered := 100 * float64(p.Answered) / float64(max(1, p.Arrived))
	fmt.Fprintf(out, "| %s | %s | %.2f | %s | %s | %.0f | %.0f | %.0f | %.2f | %.0f | %d | %d | %.3f | %.3f | %d | %d | %d | %d | %d |\n",
		r.Deployment, r.ServiceTimes, r.Load, r.Fault, r.Policy, p.Latency.P50Ms, p.Latency.P99Ms, p.Latency.P999Ms, answered,
		p.Goodput, p.Refused, p.Failed, 100*r.ProbeShare, 100*r.ConnectShare, r.PeakColdInFlight, r.ColdLimitBreaches, r.Overloads, r.SlotLosses, r.Unwanted)
}
