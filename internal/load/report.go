package load

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// Report is the result of a run. Totals exclude the warm-up.
type Report struct {
	Service    string  `json:"service"`
	Method     string  `json:"method"`
	Path       string  `json:"path"`
	Rate       float64 `json:"rate_per_second"`
	DurationMs int64   `json:"duration_ms"`
	WarmupMs   int64   `json:"warmup_ms"`
	ElapsedMs  int64   `json:"elapsed_ms"`
	Seed       uint64  `json:"seed"`
	Counts
	Resends uint64 `json:"resends"`
	// Goodput is the number of answered requests per second after the warm-up.
	Goodput float64 `json:"goodput_per_second"`
	// Latency covers answered requests, AllLatency all requests that were
	// sent. Both are measured from the intended arrival.
	Latency    Quantiles `json:"latency"`
	AllLatency Quantiles `json:"all_latency"`
	// SendDelay is the time from the intended arrival to the first attempt. A
	// large value means that the load generator itself was overloaded.
	SendDelay Quantiles `json:"send_delay"`
	// Outcomes counts requests by outcome: "answered", "dropped", the fault
	// kind of a refusal, or the kind of failure.
	Outcomes []Count `json:"outcomes"`
	// RunStatuses counts refused requests by whether they ran at an upstream.
	RunStatuses []Count `json:"runs"`
	// Seconds are the statistics for each second, the warm-up included.
	Seconds []Second `json:"seconds"`
	// Curve is the latency of answered requests by percentile.
	Curve []CurvePoint `json:"curve"`
}

// Counts is the number of requests that arrived, in total and by result.
type Counts struct {
	Arrived uint64 `json:"arrived"`
	// Answered requests received the complete response of an upstream.
	Answered uint64 `json:"answered"`
	// Refused requests received a response with a fault kind from the load
	// balancer.
	Refused uint64 `json:"refused"`
	// Failed requests ended in any other way, for example by a timeout.
	Failed uint64 `json:"failed"`
	// Dropped requests were not sent, because Plan.MaxInFlight was reached.
	Dropped uint64 `json:"dropped"`
}

// Quantiles summarises a distribution of times, in milliseconds.
type Quantiles struct {
	MeanMs float64 `json:"mean_ms"`
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p99_9_ms"`
	MaxMs  float64 `json:"max_ms"`
}

// Count is the number of requests with the named property.
type Count struct {
	Name string `json:"name"`
	N    uint64 `json:"n"`
}

// Second holds the statistics of the requests that arrived in one second of the
// run. Latencies cover answered requests, in milliseconds from the intended
// arrival.
type Second struct {
	Second int `json:"second"`
	Counts
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
	// InFlight is the number of requests in flight at the end of the second.
	InFlight int64 `json:"in_flight"`
}

// CurvePoint is one point of a latency curve: the given percentile of requests
// took at most Ms milliseconds.
type CurvePoint struct {
	Percentile float64 `json:"percentile"`
	Ms         float64 `json:"ms"`
}

// Outcome returns the number of requests with the named outcome, as listed in
// Outcomes.
func (r Report) Outcome(name string) uint64 {
	i := slices.IndexFunc(r.Outcomes, func(c Count) bool { return c.Name == name })
	if i < 0 {
		return 0
	}
	return r.Outcomes[i].N
}

// WriteJSON writes the report as an indented JSON object. It returns the error
// of w.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Annotate(enc.Encode(r), "write report as JSON")
}

func (c *Counts) add(s sample) {
	c.Arrived++
	switch {
	case s.outcome == outcomeAnswered:
		c.Answered++
	case s.outcome == outcomeDropped:
		c.Dropped++
	case s.refused:
		c.Refused++
	default:
		c.Failed++
	}
}

// report returns the result of a run that took elapsed.
func (c *collector) report(elapsed time.Duration) Report {
	measured := min(elapsed, c.plan.Duration) - c.plan.Warmup
	r := Report{
		Service: c.plan.Service, Method: c.plan.Method, Path: c.plan.Path,
		Rate:        c.plan.Rate,
		DurationMs:  c.plan.Duration.Milliseconds(),
		WarmupMs:    c.plan.Warmup.Milliseconds(),
		ElapsedMs:   elapsed.Milliseconds(),
		Seed:        c.plan.Seed,
		Counts:      c.counts,
		Resends:     c.resends,
		Latency:     quantiles(c.answeredLatency),
		AllLatency:  quantiles(c.allLatency),
		SendDelay:   quantiles(c.sendDelay),
		Outcomes:    sortedCounts(c.outcomes),
		RunStatuses: sortedCounts(c.runStatuses),
		Curve:       latencyCurve(c.answeredLatency),
	}
	if measured > 0 {
		r.Goodput = float64(c.counts.Answered) / measured.Seconds()
	}
	for i, s := range c.buckets {
		r.Seconds = append(r.Seconds, s.report(i))
	}
	return r
}

func (s *secondBucket) report(n int) Second {
	return Second{
		Second:   n,
		Counts:   s.counts,
		P50Ms:    quantileMs(s.latency, 50),
		P99Ms:    quantileMs(s.latency, 99),
		MaxMs:    quantileMs(s.latency, 100),
		InFlight: s.inFlight,
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		MeanMs: usToMs(h.Mean()),
		P50Ms:  quantileMs(h, 50),
		P90Ms:  quantileMs(h, 90),
		P99Ms:  quantileMs(h, 99),
		P999Ms: quantileMs(h, 99.9),
		MaxMs:  quantileMs(h, 100),
	}
}

func quantileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return usToMs(float64(h.ValueAtPercentile(percentile)))
}

func usToMs(us float64) float64 { return us / 1000 }

func latencyCurve(h *hdrhistogram.Histogram) []CurvePoint {
	if h.TotalCount() == 0 {
		return nil
	}
	var points []CurvePoint
	for _, b := range h.CumulativeDistribution() {
		points = append(points, CurvePoint{Percentile: b.Quantile, Ms: usToMs(float64(b.ValueAt))})
	}
	return points
}

// sortedCounts returns the counts in descending order, equal ones by name.
func sortedCounts[K ~string](m map[K]uint64) []Count {
	counts := make([]Count, 0, len(m))
	for name, n := range m {
		counts = append(counts, Count{Name: string(name), N: n})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Name, b.Name))
	})
	return counts
}
