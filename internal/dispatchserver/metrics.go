package dispatchserver

import "github.com/uber-go/tally/v4"

// metrics holds the metrics of a server.
type metrics struct {
	grants   tally.Counter
	refusals tally.Counter
	probes   tally.Counter
	// misses counts messages for cells that this entry VM does not dispatch.
	misses tally.Counter
	cells  tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("dispatch")
	return metrics{
		grants:   s.Counter("grants"),
		refusals: s.Counter("refusals"),
		probes:   s.Counter("probes"),
		misses:   s.Counter("misses"),
		cells:    s.Gauge("cells"),
	}
}
