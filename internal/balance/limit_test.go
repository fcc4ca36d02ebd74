package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A limit lasts as long as the upstream names it, and not every kind of answer
// needs to name it.
func TestLimitLastsWhileAnswersNameIt(t *testing.T) {
	type answer struct {
		kind AnswerKind
		// limit is the value in requests per second; 0 means none, -1 a value that
		// cannot be read.
		limit, want float64
	}
	cases := []struct {
		name    string
		answers []answer
	}{
		{"named, changed and withdrawn by requests", []answer{{RanAnswer, 2, 2}, {RanAnswer, 3, 3}, {RanAnswer, 0, 0}}},
		{"named by requests, not by probes", []answer{{RanAnswer, 2, 2}, {ProbeAnswer, 0, 2}, {RefusedAnswer, 0, 2}, {RanAnswer, 0, 0}}},
		{"named by probes too", []answer{{ProbeAnswer, 2, 2}, {RanAnswer, 2, 2}, {ProbeAnswer, 0, 0}}},
		{"named by probes, withdrawn by a request", []answer{{ProbeAnswer, 2, 2}, {RanAnswer, 0, 0}}},
		{"unreadable in a request", []answer{{RanAnswer, 2, 2}, {RanAnswer, -1, 0}}},
		{"unreadable in a probe", []answer{{RanAnswer, 2, 2}, {ProbeAnswer, -1, 0}}},
	}
	for _, tc := range cases {
		b := newTestBalancer(1)
		for i, a := range tc.answers {
			if a.limit < 0 {
				b.RecordInvalidLimit("u0", a.kind, "?")
			}
			b.RecordLimit("u0", a.kind, RateLimit{Named: a.limit > 0, PerSecond: max(0, a.limit), At: time.Second})
			assert.Equal(t, b.Limit("u0").PerSecond, a.want, "%s, answer %d", tc.name, i)
			assert.Equal(t, b.Limit("u0").Named, a.want > 0, "%s, answer %d", tc.name, i)
		}
	}
}

func TestRestartedUpstreamLosesItsLimit(t *testing.T) {
	b := newTestBalancer(1)
	b.RecordLimit("u0", RanAnswer, RateLimit{Named: true, PerSecond: 1})
	b.Update(0, Config{Upstreams: []Upstream{{ID: "u0", Address: "10.0.0.0:80", Zone: "a", Pool: "p", Started: 1, Slots: 2}}})
	assert.Assert(t, b.Limit("u0").Named)
	b.Update(0, Config{Upstreams: []Upstream{{ID: "u0", Address: "10.0.0.0:80", Zone: "a", Pool: "p", Started: 2, Slots: 2}}})
	assert.Assert(t, !b.Limit("u0").Named)
}
