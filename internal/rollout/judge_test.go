package rollout

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// spread returns evidence in which the outcomes are spread over upstreams.
func spread(route string, isNew bool, upstreams int, each Outcomes) Evidence {
	e := make(Evidence)
	for i := range upstreams {
		e[Cell{route, fmt.Sprint(isNew, i), isNew}] = each
	}
	return e
}

func sum(parts ...Evidence) Evidence {
	e := make(Evidence)
	for _, p := range parts {
		e.Add(p)
	}
	return e
}

func answered(n, failures uint64) Outcomes {
	return Outcomes{Requests: n, Failures: failures, Timed: n - failures}
}

// TestJudge is the table of verdicts in docs/design/rollout-control.md.
func TestJudge(t *testing.T) {
	old := spread("r", false, 6, answered(300, 2))
	good := spread("r", true, 3, answered(70, 1))
	during := Observation{Elapsed: time.Second, ObserveUntil: 5 * time.Second, DecideBy: 7 * time.Second}
	observed, last := during, during
	observed.Elapsed, last.Elapsed = 5*time.Second, 7*time.Second
	cases := []struct {
		name string
		at   Observation
		e    Evidence
		want Verdict
	}{
		{"no requests", during, nil, Undecided},
		{"no requests until the end", last, nil, Good},
		{"as good as the old version, still observed", during, sum(old, good), Undecided},
		{"as good as the old version, observed", observed, sum(old, good), Good},
		{"all upstreams fail", during, sum(old, spread("r", true, 3, answered(20, 8))), Bad},
		{"few failures", during, sum(old, spread("r", true, 3, answered(3, 2))), Undecided},
		{"both versions fail", during, sum(spread("r", false, 6, answered(300, 100)), spread("r", true, 3, answered(60, 20))), Undecided},
		{"one of three upstreams fails", observed, sum(old, spread("r", true, 2, answered(70, 0)), Evidence{Cell{"r", "grey", true}: answered(70, 60)}), Good},
		{"a single upstream fails", during, sum(old, spread("r", true, 1, answered(40, 20))), Undecided},
		{"a single upstream fails much", during, sum(old, spread("r", true, 1, answered(80, 40))), Bad},
		{"malformed", during, sum(old, spread("r", true, 3, Outcomes{Requests: 20, Malformed: 8})), Bad},
		{"slow", during, sum(old, spread("r", true, 3, Outcomes{Requests: 20, Timed: 20, Slow: 12})), Bad},
		{"a few more slow answers", during, sum(spread("r", false, 6, Outcomes{Requests: 1700, Timed: 1700, Slow: 9}), spread("r", true, 6, Outcomes{Requests: 600, Timed: 600, Slow: 9})), Undecided},
		{"cold answers are not timed", during, sum(old, spread("r", true, 3, Outcomes{Requests: 20})), Undecided},
		{"one route of two", during, sum(old, good, spread("s", false, 6, answered(30, 0)), spread("s", true, 3, answered(10, 7))), Bad},
		{"a route without requests", observed, sum(old, good, spread("s", false, 6, answered(30, 0))), Undecided},
		{"a route without requests until the end", last, sum(old, good, spread("s", false, 6, answered(30, 0))), Good},
		{"more load on the new version", observed, sum(
			spread("r", false, 6, Outcomes{Requests: 300, Timed: 300, Loaded: 30, LoadedBad: 9, Failures: 9}),
			spread("r", true, 3, Outcomes{Requests: 100, Timed: 100, Loaded: 80, LoadedBad: 24, Failures: 24})), Good},
		{"bad under load", during, sum(
			spread("r", false, 6, Outcomes{Requests: 300, Timed: 300, Loaded: 100, LoadedBad: 5, Failures: 5}),
			spread("r", true, 3, Outcomes{Requests: 90, Timed: 90, Loaded: 20, LoadedBad: 10, Failures: 10})), Bad},
		{"a bad old upstream hides nothing", during, sum(old, Evidence{Cell{"r", "grey", false}: answered(300, 200)}, spread("r", true, 3, answered(40, 8))), Bad},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := c.at
			o.Evidence = c.e
			d := Judge(o)
			assert.Equal(t, d.Verdict, c.want, "%+v", d)
			// A gateway that judges its own evidence never finds a version good.
			own := Judge(Observation{Evidence: c.e})
			assert.Assert(t, own.Verdict != Good)
		})
	}
}

// TestTroubleAfterTheShiftIsNotTheVersionsFault compares the versions by period: when
// trouble begins, nearly all requests go to the new version, while the old one had good
// times before.
func TestTroubleAfterTheShiftIsNotTheVersionsFault(t *testing.T) {
	before := sum(spread("r", false, 6, answered(1000, 2)), spread("r", true, 3, answered(100, 0)))
	during := sum(spread("r", false, 6, answered(70, 15)), spread("r", true, 6, answered(300, 60)))
	assert.Equal(t, Judge(Observation{Periods: []Evidence{before, during}}).Verdict, Undecided)
	assert.Equal(t, Judge(Observation{Evidence: sum(before, during)}).Verdict, Bad)
}

// TestUnreportedRequestsCountAsGood: bad answers are reported before the good ones of the
// same time.
func TestUnreportedRequestsCountAsGood(t *testing.T) {
	e := sum(spread("r", false, 6, answered(300, 15)), spread("r", true, 4, answered(10, 5)))
	assert.Equal(t, Judge(Observation{Evidence: e}).Verdict, Bad)
	assert.Equal(t, Judge(Observation{Evidence: e, Unreported: 8}).Verdict, Undecided)
}

// TestCollectorKeepsTheNewestReport guards against evidence that is counted twice after a
// repeated or late report, or lost when a gateway restarts.
func TestCollectorKeepsTheNewestReport(t *testing.T) {
	c := NewCollector(0, 10*time.Second)
	report := func(entry string, incarnation uint64, knownMs uint32, requests uint64) bool {
		e := spread("r", true, 1, answered(requests, 0))
		return c.Record(time.Duration(knownMs)*time.Millisecond, entry, incarnation, &clusterpb.RolloutEvidence{Routes: e.Routes(), KnownMs: knownMs})
	}
	total := func() uint64 {
		_, n, _ := c.Totals()
		return n.Requests
	}
	assert.Assert(t, report("a", 1, 1000, 10))
	assert.Assert(t, report("a", 1, 1000, 10))
	assert.Equal(t, total(), uint64(10))
	assert.Assert(t, report("a", 1, 2000, 25))
	assert.Assert(t, !report("a", 1, 1500, 17), "a late report")
	assert.Equal(t, total(), uint64(25))
	assert.Assert(t, report("a", 2, 100, 5), "after a restart")
	assert.Assert(t, !report("a", 1, 2500, 30))
	assert.Assert(t, report("b", 1, 500, 7))
	assert.Equal(t, total(), uint64(37))
	assert.Equal(t, c.Known(3*time.Second), 3*time.Second)
	assert.Equal(t, c.Unreported(560*time.Millisecond, time.Second, 2), 520.0/600, "460 ms and 60 ms since the reports of 600 ms")
	assert.Equal(t, c.Unreported(560*time.Millisecond, time.Second, 9), 1.0, "many gateways have not reported")
	periods := c.Periods(3 * time.Second)
	assert.Equal(t, len(periods), 2)
	assert.Equal(t, len(periods[1]), 0)
}

// TestEvidenceIsReadBack converts evidence to a report and back.
func TestEvidenceIsReadBack(t *testing.T) {
	all := Outcomes{Requests: 9, Failures: 1, Malformed: 2, Timed: 6, Slow: 3, SlowdownPermille: 7000, Loaded: 4, LoadedBad: 2}
	e := Evidence{{"r", "u", true}: all, {"r", "v", false}: all, {"r", "", true}: all, {"s", "", false}: all}
	data, err := proto.Marshal(&clusterpb.RolloutEvidence{Routes: e.Routes()})
	assert.NilError(t, err)
	var report clusterpb.RolloutEvidence
	assert.NilError(t, proto.Unmarshal(data, &report))
	assert.DeepEqual(t, EvidenceOf(&report), e)
}

// TestNextFollowsTheNewUpstreams replays what the steps depend on besides the verdict.
func TestNextFollowsTheNewUpstreams(t *testing.T) {
	const d = 12 * time.Second
	p := Progress{Stage: Shifting, Permille: 250, Elapsed: 8 * time.Second, Duration: d, SinceStep: time.Second, Ready: 4, Bearable: 1000, Capacity: 1000, Followed: true, Informed: true}
	// Five bad answers at the upstreams that count are too few for the verdict bad.
	suspect := sum(spread("r", false, 6, answered(300, 2)), spread("r", true, 2, answered(25, 5)))
	assert.Equal(t, Judge(Observation{Evidence: suspect}).Verdict, Undecided)
	cases := []struct {
		name string
		set  func(p *Progress)
		want Step
		none bool
	}{
		{"next share", func(*Progress) {}, Step{Stage: Shifting, Permille: 500}, false},
		{"gateways have not followed", func(p *Progress) { p.Followed = false }, Step{}, true},
		{"just stepped", func(p *Progress) { p.SinceStep = 100 * time.Millisecond }, Step{}, true},
		{"cold upstreams", func(p *Progress) { p.Bearable = 400 }, Step{Stage: Shifting, Permille: 400}, false},
		{"cold upstreams at the end", func(p *Progress) { p.Bearable, p.Elapsed = 400, 10*time.Second }, Step{Stage: Shifting, Permille: 1000}, false},
		{"too few upstreams at the end", func(p *Progress) { p.Bearable, p.Capacity, p.Elapsed = 300, 300, 10*time.Second }, Step{Stage: RolledBack}, false},
		{"requests in flight at the old version", func(p *Progress) { p.Permille, p.Elapsed = 1000, 11*time.Second }, Step{}, true},
		{"moved, still observed", func(p *Progress) { p.Permille, p.Moved = 1000, true }, Step{}, true},
		{"one gateway has withdrawn", func(p *Progress) { p.Withdrawn, p.Reporting = 1, 400 }, Step{}, true},
		{"one gateway has withdrawn, at the end", func(p *Progress) { p.Withdrawn, p.Reporting, p.Elapsed = 1, 400, 10*time.Second }, Step{Stage: RolledBack}, false},
		{"many gateways have withdrawn", func(p *Progress) { p.Withdrawn, p.Reporting = 8, 400 }, Step{Stage: RolledBack}, false},
		{"suspect", func(p *Progress) { p.Evidence = suspect }, Step{}, true},
		{"suspect at the end", func(p *Progress) { p.Evidence, p.Elapsed = suspect, 10*time.Second }, Step{Stage: RolledBack}, false},
		{"moved but suspect", func(p *Progress) {
			p.Permille, p.Moved, p.Evidence, p.Elapsed = 1000, true, suspect, 10*time.Second
		}, Step{Stage: RolledBack}, false},
		{"moved", func(p *Progress) { p.Permille, p.Elapsed, p.Moved = 1000, 10*time.Second, true }, Step{Stage: Completed}, false},
		{"new leader without evidence", func(p *Progress) { p.Stage, p.Elapsed, p.Informed = Active, 11*time.Second, false }, Step{}, true},
		{"no traffic", func(p *Progress) { p.Stage, p.Permille, p.Elapsed = Active, 0, 9*time.Second }, Step{Stage: Shifting, Permille: 250}, false},
		{"no upstreams", func(p *Progress) { p.Stage, p.Elapsed, p.Ready, p.Bearable = Active, 9*time.Second, 0, 0 }, Step{}, true},
		{"no upstreams at the end", func(p *Progress) { p.Stage, p.Ready, p.Elapsed = Active, 0, 10*time.Second }, Step{Stage: RolledBack}, false},
		{"ended", func(p *Progress) { p.Stage = Completed }, Step{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := p
			c.set(&p)
			step, _, ok := Next(p)
			assert.Equal(t, ok, !c.none, "%+v", step)
			if ok {
				step.Reason = ""
				assert.Equal(t, step, c.want)
			}
		})
	}
}
