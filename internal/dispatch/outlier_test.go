package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// warmWorld returns a cell of five warm upstreams "a" to "e" with two slots.
func warmWorld(t *testing.T) *world {
	w := newWorld(t, Config{ColdSlots: 1, WarmAfter: 4, ProbeEnabled: true, ProbeBudgetPermille: 10})
	for range 60 {
		w.round(nil)
	}
	for _, s := range w.c.Upstreams() {
		assert.Equal(t, s.State, "warm", s.ID)
	}
	return w
}

// round runs as many requests at once as there are slots; took overrides the
// service time and the outcome of an upstream.
func (w *world) round(took func(id string) (time.Duration, clusterpb.Outcome)) map[string]int {
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		w.announce(id, 2, ReportedWarm)
	}
	type run struct {
		g  Grant
		at time.Duration
		o  clusterpb.Outcome
	}
	var runs []run
	count := make(map[string]int)
	for range 10 {
		_, a := w.acquire(0)
		g, ok := a.(Grant)
		if !ok {
			break
		}
		count[g.Upstream]++
		r := run{g, 20 * ms, clusterpb.Outcome_OUTCOME_OK}
		if took != nil {
			r.at, r.o = took(g.Upstream)
		}
		runs = append(runs, r)
	}
	for end := w.now + 500*ms; w.now < end; {
		w.now += 10 * ms
		w.c.Step(w.now, Tick{})
		for i, r := range runs {
			if r.at > 0 && w.now >= end-500*ms+r.at {
				w.release(r.g.Key, r.o, r.at)
				runs[i].at = 0
			}
		}
	}
	return count
}

func (w *world) state(id string) string { return string(w.c.upstream(id).state) }

func TestStragglerIsEjectedAndProbedBack(t *testing.T) {
	w := warmWorld(t)
	slow := func(id string) (time.Duration, clusterpb.Outcome) {
		if id == "a" {
			return 300 * ms, clusterpb.Outcome_OUTCOME_OK
		}
		return 20 * ms, clusterpb.Outcome_OUTCOME_OK
	}
	for range 30 {
		w.round(slow)
	}
	assert.Equal(t, w.state("a"), "ejected")
	probed := false
	for range 1000 {
		w.now += 10 * ms
		for _, a := range w.c.Step(w.now, Tick{}) {
			if p, ok := a.(Probe); ok {
				probed = true
				w.c.Step(w.now+6*ms, ProbeDone{ID: p.ID, OK: true, Elapsed: 6 * ms})
			}
		}
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			w.announce(id, 2, ReportedWarm)
		}
	}
	assert.Assert(t, probed)
	assert.Equal(t, w.state("a"), "cold")
	assert.Equal(t, w.limit("a"), 1)
}

func TestSilentColdStartIsSeen(t *testing.T) {
	w := warmWorld(t)
	cold := func(id string) (time.Duration, clusterpb.Outcome) {
		if id == "a" {
			return 60 * ms, clusterpb.Outcome_OUTCOME_OK
		}
		return 20 * ms, clusterpb.Outcome_OUTCOME_OK
	}
	rounds := 0
	for w.limit("a") > 1 {
		w.round(cold)
		rounds++
		assert.Assert(t, rounds < 40)
	}
	assert.Equal(t, w.state("a"), "cold")
}

func TestFailingFastAttractsNoWork(t *testing.T) {
	fail := func(id string) (time.Duration, clusterpb.Outcome) {
		if id == "a" {
			return ms, clusterpb.Outcome_OUTCOME_FAILED
		}
		return 20 * ms, clusterpb.Outcome_OUTCOME_OK
	}
	served := func(off bool) int {
		w := warmWorld(t)
		w.c.rules.noHoldDown = off
		n := 0
		for range 40 {
			k, a := w.acquire(0)
			g, ok := a.(Grant)
			if !ok {
				break
			}
			if g.Upstream == "a" {
				n++
				w.now += ms
				w.release(k, clusterpb.Outcome_OUTCOME_FAILED, ms)
			}
		}
		return n
	}
	assert.Assert(t, served(false) <= 2)
	assert.Assert(t, served(true) > 2)
	w := warmWorld(t)
	for range 10 {
		w.round(fail)
	}
	assert.Equal(t, w.state("a"), "ejected")
}

func TestReportedColdCutsTheLimit(t *testing.T) {
	w := warmWorld(t)
	w.now += ms
	w.announce("a", 2, ReportedCold)
	assert.Equal(t, w.limit("a"), 1)
	assert.Equal(t, w.state("a"), "cold")
}

func TestColdUpstreamWarmsUpAtLowLoad(t *testing.T) {
	w := warmWorld(t)
	w.now += ms
	w.announce("a", 2, ReportedCold)
	w.now += ms
	w.announce("a", 2, ReportedWarm)
	w.run(100, 10*ms)
	assert.Equal(t, w.state("a"), "warm")
}

func TestSuspectWithoutRequestsIsProbed(t *testing.T) {
	w := warmWorld(t)
	for range 3 {
		w.c.upstream("a").fails.add(true)
	}
	w.c.judge(w.c.upstream("a"), nil)
	assert.Equal(t, w.state("a"), "suspect")
	w.now += suspectFor
	w.c.Step(w.now, Tick{})
	assert.Equal(t, w.state("a"), "ejected")
}
