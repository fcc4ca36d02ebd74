package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// spread returns what is known of n upstreams, spread over zones and pools in turn as
// upstream does.
func spread(n, zones, pools int) Known {
	k := Known{Upstreams: n, Zones: make(map[string]int), Pools: make(map[string]int)}
	for i := range n {
		u := upstream(i, zones, pools)
		k.Zones[u.Zone]++
		k.Pools[u.Pool]++
	}
	return k
}

func upstream(i, zones, pools int) Upstream {
	return Upstream{ID: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i%zones), Pool: fmt.Sprint("p", i/zones%pools)}
}

// upstreams returns those with the given numbers.
func upstreams(zones, pools int, numbers ...int) []Upstream {
	var list []Upstream
	for _, i := range numbers {
		list = append(list, upstream(i, zones, pools))
	}
	return list
}

// first returns the numbers below n.
func first(n int) []int {
	var list []int
	for i := range n {
		list = append(list, i)
	}
	return list
}

// TestJudge is the table of the evidence for the loss of all upstreams, and of other
// causes of the same failures.
func TestJudge(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name  string
		known Known
		e     Evidence
		want  Explanation
	}{
		{"no failure", spread(12, 2, 1), Evidence{}, TooFew},
		{"no upstreams", Known{}, Evidence{}, TooFew},
		{"the four of twelve that are down, as drawn by two rounds", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, first(4)...), Span: second}, TooFew},
		{"half of twelve", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, first(6)...), Span: second}, Loss},
		{"seven of many", spread(1100, 4, 140), Evidence{Failed: upstreams(4, 140, first(7)...), Span: second}, TooFew},
		{"eight of many", spread(1100, 4, 140), Evidence{Failed: upstreams(4, 140, first(8)...), Span: second}, Loss},
		{"all at once after a pause", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, first(12)...), Span: 9 * ms}, Pause},
		{"a zone is down", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, 0, 2, 4, 6, 8, 10), Span: second}, OneZone},
		{"a zone is down, and one more", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, 0, 1, 2, 4, 6, 8, 10), Span: second}, OneZone},
		{"a zone and two more", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, 0, 1, 2, 3, 4, 6, 8, 10), Span: second}, Loss},
		{"a pool is down in all zones", spread(24, 2, 3), Evidence{Failed: upstreams(2, 3, 0, 1, 6, 7, 12, 13, 18, 19), Span: second}, OnePool},
		{"a pool is down, and one more", spread(24, 2, 3), Evidence{Failed: upstreams(2, 3, 0, 1, 6, 7, 12, 13, 18, 19, 20), Span: second}, OnePool},
		{"the only pool", spread(8, 2, 1), Evidence{Failed: upstreams(2, 1, first(8)...), Span: second}, Loss},
		{"the only zone", spread(8, 1, 1), Evidence{Failed: upstreams(1, 1, first(8)...), Span: second}, Loss},
		{"all of two", spread(2, 2, 1), Evidence{Failed: upstreams(2, 1, 0, 1), Span: second}, Loss},
		{"one of two", spread(2, 2, 1), Evidence{Failed: upstreams(2, 1, 0), Span: second}, TooFew},
		{"the only one", spread(1, 1, 1), Evidence{Failed: upstreams(1, 1, 0), Span: second}, Loss},
		{"the only one, once", spread(1, 1, 1), Evidence{Failed: upstreams(1, 1, 0)}, Pause},
		{"others answer, those that failed do not", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, first(6)...), Span: second, Answered: 6}, UpstreamsDown},
		{"one that failed was full and answers", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, first(6)...), Span: second, Answered: 7, FailedAndAnswered: 1}, UpstreamsDown},
		{"those that answer refuse new connections", spread(12, 2, 1), Evidence{Failed: upstreams(2, 1, first(6)...), Span: second, Answered: 8, FailedAndAnswered: 2}, Loss},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, Judge(tc.known, tc.e), tc.want) })
	}
}

// TestProbesOfOtherwiseReachedUpstreamsFindNoLoss draws upstreams to probe while a third
// of all are down, in all zones and pools, and no call shows that the others answer. The
// first round draws two upstreams, the next six that have not failed yet.
func TestProbesOfOtherwiseReachedUpstreamsFindNoLoss(t *testing.T) {
	const draws = 30_000
	for _, n := range []int{12, 24, 120} {
		known, losses := spread(n, 2, 1), 0
		rng := rand.New(rand.NewPCG(uint64(n), 0))
		for range draws {
			drawn := rng.Perm(n)
			down := 0
			for down < 8 && drawn[down] < n/3 {
				down++
			}
			if Judge(known, Evidence{Failed: upstreams(2, 1, drawn[:down]...), Span: time.Second}) == Loss {
				losses++
			}
		}
		// Four of twelve were drawn by chance in 1 of 225 cases.
		assert.Check(t, losses <= draws/2000, "%d upstreams: %d losses in %d draws", n, losses, draws)
	}
}

var tenInTwoZones = spread(10, 2, 1)

// record is a method of Tracker that records a failure.
type record func(t *Tracker, now time.Duration, u Upstream)

// fail records failures of n different upstreams in two zones, one every step from
// start.
func fail(t *Tracker, start, step time.Duration, n int, r record) {
	for i := range n {
		r(t, start+time.Duration(i)*step, upstream(i, 2, 1))
	}
}

// TestTrackerCollectsTheEvidence plays outcomes: which end a series of failures, and
// which cause is stated.
func TestTrackerCollectsTheEvidence(t *testing.T) {
	u0 := upstream(0, 2, 1)
	for _, tc := range []struct {
		name string
		play func(*Tracker)
		want Cause
	}{
		{"five of ten break over 400 ms", func(tr *Tracker) { fail(tr, 0, 100*ms, 5, (*Tracker).RecordBroken) }, NoAnswers},
		{"the same ones again and again", func(tr *Tracker) {
			for i := range time.Duration(10) {
				fail(tr, i*100*ms, 10*ms, 4, (*Tracker).RecordBroken)
			}
		}, None},
		{"an answer between", func(tr *Tracker) {
			fail(tr, 0, 100*ms, 4, (*Tracker).RecordBroken)
			tr.RecordAnswer(u0)
			fail(tr, 400*ms, 100*ms, 4, (*Tracker).RecordBroken)
		}, None},
		{"no new connections, answers of the same on old ones", func(tr *Tracker) {
			fail(tr, 0, 100*ms, 4, (*Tracker).RecordNotOpened)
			tr.RecordAnswer(u0)
			tr.RecordAnswer(upstream(1, 2, 1))
			tr.RecordNotOpened(400*ms, upstream(4, 2, 1))
		}, NoConnections},
		{"no new connections to some, answers of others", func(tr *Tracker) {
			fail(tr, 0, 100*ms, 4, (*Tracker).RecordNotOpened)
			tr.RecordAnswer(upstream(8, 2, 1))
			tr.RecordAnswer(upstream(9, 2, 1))
			tr.RecordNotOpened(400*ms, upstream(4, 2, 1))
		}, None},
		{"a connection opened, which broke", func(tr *Tracker) {
			fail(tr, 0, 100*ms, 5, (*Tracker).RecordNotOpened)
			tr.RecordOpened()
		}, NoAnswers},
		{"busy upstreams", func(tr *Tracker) { fail(tr, 0, 100*ms, 10, (*Tracker).RecordTimeout) }, None},
		{"nothing opens, old connections time out", func(tr *Tracker) {
			fail(tr, 0, 100*ms, 5, (*Tracker).RecordNotOpened)
			tr.RecordAnswer(u0)
			tr.RecordAnswer(upstream(1, 2, 1))
			fail(tr, 500*ms, 100*ms, 2, (*Tracker).RecordTimeout)
		}, NoAnswers},
		{"a connection opened and an answer", func(tr *Tracker) {
			fail(tr, 0, 100*ms, 10, (*Tracker).RecordNotOpened)
			tr.RecordOpened()
			tr.RecordAnswer(u0)
		}, None},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tr Tracker
			tc.play(&tr)
			assert.Equal(t, tr.Status(tenInTwoZones).Cause, tc.want)
		})
	}
}

// TestLostUpstreamsAreFoundAgain checks that the loss lasts until a success,
// whatever the gateway knows meanwhile.
func TestLostUpstreamsAreFoundAgain(t *testing.T) {
	var tr Tracker
	fail(&tr, time.Second, 100*ms, 5, (*Tracker).RecordNotOpened)
	assert.Equal(t, tr.Status(tenInTwoZones), Status{Cause: NoAnswers, Since: time.Second, Failed: 5})
	assert.Assert(t, tr.Status(spread(90, 8, 1)).Lost())
	assert.Assert(t, tr.Suspect(tenInTwoZones))
	// An upstream that only left a request unanswered is still worth a new connection.
	tr.RecordTimeout(2*time.Second, upstream(5, 2, 1))
	assert.Assert(t, tr.IsEvidence("u3") && !tr.IsEvidence("u5"))
	tr.RecordOpened()
	tr.RecordAnswer(upstream(0, 2, 1))
	assert.Assert(t, !tr.Status(tenInTwoZones).Lost())
	assert.Assert(t, !tr.Suspect(tenInTwoZones))
}

// TestProofUpstreamsAreLostOnlyOnEvidence draws histories: the upstreams are lost
// only if half of them have failed, in several zones and pools, over some time since the
// last success.
func TestProofUpstreamsAreLostOnlyOnEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		n := rapid.IntRange(1, 16).Draw(t, "upstreams")
		zones, pools := rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(1, 3).Draw(t, "pools")
		known := spread(n, zones, pools)
		var now, begin, last time.Duration
		failed := map[Upstream]bool{}
		lost := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * ms
			if rapid.IntRange(0, 14).Draw(t, "answers") == 0 {
				tr.RecordOpened()
				tr.RecordAnswer(upstream(0, zones, pools))
				failed, lost = map[Upstream]bool{}, false
				continue
			}
			u := upstream(rapid.IntRange(0, n-1).Draw(t, "upstream"), zones, pools)
			if len(failed) == 0 {
				begin = now
			}
			last = now
			failed[u] = true
			tr.RecordNotOpened(now, u)
			enough := 2*len(failed) >= min(n, 16) && len(failed) >= min(n, 4) && last-begin >= 250*ms
			for out := range failed {
				outZone, outPool, knownZone, knownPool := 0, 0, 0, 0
				for i := range n {
					other := upstream(i, zones, pools)
					if other.Zone != out.Zone {
						knownZone++
						if failed[other] {
							outZone++
						}
					}
					if other.Pool != out.Pool {
						knownPool++
						if failed[other] {
							outPool++
						}
					}
				}
				enough = enough && outZone >= min(2, knownZone) && outPool >= min(2, knownPool)
			}
			lost = lost || enough
			assert.Equal(t, tr.Status(known).Lost(), lost)
		}
	})
}

// TestBusyUpstreamsAreSuspected checks that upstreams which do not answer in time are
// probed, although they do not count as lost.
func TestBusyUpstreamsAreSuspected(t *testing.T) {
	var tr Tracker
	fail(&tr, 0, 100*ms, 2, (*Tracker).RecordTimeout)
	assert.Assert(t, tr.Suspect(tenInTwoZones))
	assert.Assert(t, !tr.Status(tenInTwoZones).Lost())
}
