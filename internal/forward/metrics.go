package forward

import (
	"time"

	"github.com/uber-go/tally/v4"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// latencyBuckets are the upper bounds of the call latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)

// metrics holds the counters of the data path.
type metrics struct {
	scope   tally.Scope
	latency tally.Histogram
	calls   tally.Counter
	aborts  tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:   scope,
		latency: scope.Histogram("call_seconds", latencyBuckets),
		calls:   scope.Counter("calls_total"),
		aborts:  scope.Counter("answers_aborted_total"),
	}
}

// done counts a call that went through its chart.
func (m *metrics) done(_ *call, took time.Duration) {
	m.calls.Inc(1)
	m.latency.RecordDuration(took)
}

// refused counts a refusal by kind.
func (m *metrics) refused(kind fault.Kind) {
	m.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("refusals_total").Inc(1)
}

// aborted counts an answer that broke on the way to the caller.
func (m *metrics) aborted() { m.aborts.Inc(1) }
