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

// The wait for a permit counts only while every upstream needs one, and grows with
// the requests ahead.
func TestPermitWaitOfAPool(t *testing.T) {
	const pool = "p"
	b := newTestBalancer(2)
	name := func(id string, perSecond float64) {
		b.RecordLimit(id, RanAnswer, RateLimit{Known: true, Named: true, PerSecond: perSecond})
	}
	name("u0", 1)
	_, limited := b.PermitWait(0, pool, nil, 0, 2)
	assert.Assert(t, !limited, "u1 needs no permit")
	_, limited = b.PermitWait(0, pool, []string{"u0", "u1"}, 0, 2)
	assert.Assert(t, !limited, "no upstream")
	name("u1", 3)
	b.DeferPermit("u0", 2*time.Second)
	b.DeferPermit("u1", 5*time.Second)
	wait := func(exclude []string, ahead int) time.Duration {
		d, limited := b.PermitWait(time.Second, pool, exclude, ahead, 2)
		assert.Assert(t, limited)
		return d
	}
	assert.Equal(t, wait(nil, 0), time.Second)
	assert.Equal(t, wait([]string{"u0"}, 0), 4*time.Second)
	assert.Equal(t, wait(nil, 2), 2*time.Second, "two requests of two units each at four a second")
	name("u1", 4)
	assert.Equal(t, wait([]string{"u0"}, 0), time.Duration(0), "a changed limit is asked for at once")
	name("u0", 0)
	name("u1", 0)
	assert.Equal(t, wait(nil, 1), maxPermitWait)
}
