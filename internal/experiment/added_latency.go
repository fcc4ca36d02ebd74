package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/load"
	"balsamcourse.example/balsamcourse/internal/lookup"
)

// addedLatencyRate is the number of calls per second at which the added latency
// is measured.
const addedLatencyRate = 200

// MeasureAddedLatency measures the latency that entry VMs add to a call. It
// compares calls through the entry VMs with calls sent directly to the
// upstreams, which are idle and have a service time of 0, and writes the result
// to out as a Markdown table. It returns an error if the system does not start or
// a run fails.
func MeasureAddedLatency(ctx context.Context, d Deployment, policy string, duration time.Duration, out io.Writer) error {
	s, err := start(ctx, d, policy, func(*rand.Rand) time.Duration { return 0 })
	if err != nil {
		return errors.Trace(err)
	}
	defer s.stop()
	var direct []lookup.Entry
	for _, u := range s.upstreams {
		direct = append(direct, lookup.Entry{ID: u.ID(), Address: u.Address(), Weight: 1})
	}
	fmt.Fprintln(out, "| deployment | policy | path | p50 ms | p90 ms | p99 ms | p99.9 ms | answered |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	for _, path := range []struct {
		name    string
		targets []lookup.Entry
	}{{"direct", direct}, {"entry VM", s.targets()}, {"direct", direct}, {"entry VM", s.targets()}} {
		r, err := load.Run(ctx, load.Plan{
			Service: d.Service, Targets: path.targets, Rate: addedLatencyRate, Duration: duration, Warmup: duration / 4,
			Path: "/" + d.Service + "/list", Timeout: callTimeout, Seed: loadSeed,
		})
		if err != nil {
			return errors.Trace(err)
		}
		q := r.Latency
		fmt.Fprintf(out, "| %s | %s | %s | %.3f | %.3f | %.3f | %.3f | %d of %d |\n",
			d.Name, policy, path.name, q.P50Ms, q.P90Ms, q.P99Ms, q.P999Ms, r.Answered, r.Arrived)
	}
	return nil
}
