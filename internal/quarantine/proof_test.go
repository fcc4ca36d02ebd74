package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/proptest"
)

const (
	poisonRequest = "poison"
	entryVMCount  = 4
	upstreamCount = 3
	proofSteps    = 100
)

// entryVM is an entry VM of the simulation and the reports that are in transit
// to it.
type entryVM struct {
	detector *Detector
	inbox    []pendingReport
	sequence uint64
	// lastCompletion holds, by request, the time of the last completion known
	// to the entry VM.
	lastCompletion map[string]time.Duration
}

// pendingReport is a report in transit.
type pendingReport struct {
	report *clusterpb.CrashReport
	sent   time.Duration
}

// attempt is a request in flight at an upstream.
type attempt struct {
	request   string
	entryVM   int
	upstream  int
	hasPermit bool
}

// simulation models some entry VMs and upstreams. Its oracle, crashesOf,
// records the crashes that each request was involved in, and when.
type simulation struct {
	now          time.Duration
	entryVMs     []*entryVM
	inFlight     []attempt
	incarnations [upstreamCount]uint64
	// permitTaken is set while a suspect request is in flight; only one may be.
	permitTaken     bool
	permitsDisabled bool
	crashTotal      int
	// unsuspectedSends counts the sends of poisonRequest by entry VMs where it
	// is not suspect.
	unsuspectedSends int
	crashesOf        map[string]map[Crash]time.Duration
	violation        string
}

func newSimulation(disabled disabledRules) *simulation {
	s := &simulation{crashesOf: make(map[string]map[Crash]time.Duration)}
	for range entryVMCount {
		d := New(Limits{Threshold: 3, Hold: time.Hour, MaxReports: 1000})
		d.disabled = disabled
		s.entryVMs = append(s.entryVMs, &entryVM{detector: d, lastCompletion: make(map[string]time.Duration)})
	}
	return s
}

// start sends a request through an entry VM as the forwarder does.
func (s *simulation) start(name string, e, upstream int) {
	r := Request{"lotboard", name}
	detector := s.entryVMs[e].detector
	if _, blocked := detector.Snapshot(s.now).Blocked(s.now, r); blocked {
		s.checkQuarantine(name, e)
		return
	}
	suspect := detector.Snapshot(s.now).Suspect(s.now, r)
	if suspect && s.permitTaken {
		return
	}
	if name == poisonRequest && !suspect {
		s.unsuspectedSends++
	}
	s.permitTaken = s.permitTaken || (suspect && !s.permitsDisabled)
	s.inFlight = append(s.inFlight, attempt{name, e, upstream, suspect && !s.permitsDisabled})
}

// checkQuarantine checks that a quarantined request was involved in enough
// crashes since the last completion known to the entry VM.
func (s *simulation) checkQuarantine(name string, e int) {
	n := 0
	for _, at := range s.crashesOf[name] {
		if at > s.entryVMs[e].lastCompletion[name] {
			n++
		}
	}
	if n < 3 {
		s.violation = fmt.Sprintf("%s is quarantined after %d crashes, want at least 3", name, n)
	}
}

// finishAttempts ends the attempts at an upstream. If poisonRequest is among
// them, the upstream crashes; otherwise they complete.
func (s *simulation) finishAttempts(upstream int) {
	var finished, remaining []attempt
	crash := false
	for _, a := range s.inFlight {
		if a.upstream != upstream {
			remaining = append(remaining, a)
			continue
		}
		finished = append(finished, a)
		crash = crash || a.request == poisonRequest
	}
	s.inFlight = remaining
	for _, a := range finished {
		s.finishAttempt(a, crash)
	}
	if crash {
		s.incarnations[upstream]++
		s.crashTotal++
	}
}

func (s *simulation) finishAttempt(a attempt, crashed bool) {
	c := Crash{fmt.Sprintf("u%d", a.upstream), s.incarnations[a.upstream]}
	detector := s.entryVMs[a.entryVM].detector
	switch {
	case crashed:
		if s.crashesOf[a.request] == nil {
			s.crashesOf[a.request] = make(map[Crash]time.Duration)
		}
		s.crashesOf[a.request][c] = s.now
		s.publish(a.entryVM, &clusterpb.CrashReport{Fingerprint: a.request, Upstream: c.Upstream, Incarnation: c.Incarnation, Trial: a.hasPermit})
	case detector.Snapshot(s.now).Suspect(s.now, Request{"lotboard", a.request}):
		s.entryVMs[a.entryVM].lastCompletion[a.request] = s.now
		s.publish(a.entryVM, &clusterpb.CrashReport{Fingerprint: a.request, Released: true})
	}
	if a.hasPermit {
		s.deliverAll()
		s.permitTaken = false
	}
}

// publish merges a report at the entry VM that made it and sends it to the
// others.
func (s *simulation) publish(e int, r *clusterpb.CrashReport) {
	from := s.entryVMs[e]
	from.sequence++
	r.Service, r.Entry, r.Sequence = "lotboard", fmt.Sprintf("e%d", e), from.sequence
	from.detector.Merge(s.now, []*clusterpb.CrashReport{r})
	for i, other := range s.entryVMs {
		if i != e {
			other.inbox = append(other.inbox, pendingReport{r, s.now})
		}
	}
}

// deliverAll delivers all reports in transit.
func (s *simulation) deliverAll() {
	for i := range s.entryVMs {
		s.deliver(i)
	}
}

// deliver delivers the reports in transit to one entry VM.
func (s *simulation) deliver(e int) {
	var reports []*clusterpb.CrashReport
	for _, p := range s.entryVMs[e].inbox {
		p.report.AgeMs = uint32((s.now - p.sent) / time.Millisecond)
		reports = append(reports, p.report)
		if p.report.Released {
			completions := s.entryVMs[e].lastCompletion
			completions[p.report.Fingerprint] = max(completions[p.report.Fingerprint], p.sent)
		}
	}
	s.entryVMs[e].detector.Merge(s.now, reports)
	s.entryVMs[e].inbox = nil
}

// runSimulation returns the first violation, or "". Crashes are more than
// isolationBefore apart, so that all are isolated.
func runSimulation(t *rapid.T, s *simulation) string {
	names := []string{poisonRequest, poisonRequest, "a", "b", "c"}
	for range proofSteps {
		s.now += 3 * time.Second
		e := rapid.IntRange(0, entryVMCount-1).Draw(t, "entry")
		u := rapid.IntRange(0, upstreamCount-1).Draw(t, "upstream")
		switch rapid.IntRange(0, 6).Draw(t, "action") {
		case 0, 1, 2:
			s.start(rapid.SampledFrom(names).Draw(t, "request"), e, u)
		case 3, 4:
			s.finishAttempts(u)
		case 5:
			s.deliver(e)
		case 6:
			s.deliverAll()
		}
		// Each crash is caused by a send from an entry VM where the request was not
		// suspect, or by a send with the permit. At most threshold-1 of the latter
		// precede the quarantine, since their crashes are reported everywhere before
		// the permit is free again.
		if bound := s.unsuspectedSends + 3 - 1; s.crashTotal > bound {
			s.violation = fmt.Sprintf("%d crashes, limit %d", s.crashTotal, bound)
		}
		if s.violation != "" {
			return s.violation
		}
	}
	return ""
}

// In random histories, the number of crashes must be bounded, and only requests
// that were involved in enough crashes may be quarantined.
func TestProofCrashesAreBoundedAndHarmlessRequestsNotQuarantined(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		for range 10 {
			if f := runSimulation(rt, newSimulation(disabledRules{})); f != "" {
				rt.Fatal(f)
			}
		}
	})
}

// The simulation must find a violation when the deduplication of reports, the
// release by a completion or the limit of one suspect request in flight is
// disabled. TestQuarantineDecisions covers the other rules.
func TestProofDetectsEachDisabledRule(t *testing.T) {
	tests := []struct {
		name            string
		disabled        disabledRules
		permitsDisabled bool
	}{
		{name: "reports are counted instead of crashes", disabled: disabledRules{deduplication: true}},
		{name: "a completion does not release the request", disabled: disabledRules{release: true}},
		{name: "suspect requests run concurrently", permitsDisabled: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violations := rapid.Custom(func(rt *rapid.T) string {
				s := newSimulation(tt.disabled)
				s.permitsDisabled = tt.permitsDisabled
				return runSimulation(rt, s)
			})
			found := ""
			for seed := 0; seed < 5000 && found == ""; seed++ {
				found = violations.Example(seed)
			}
			assert.Assert(t, found != "")
			t.Log(found)
		})
	}
}
