package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/proof"
)

const (
	killer     = "killer"
	worldVMs   = 4
	upstreams  = 6
	proofSteps = 60
)

// entry is one entry VM with the reports that have not reached it yet.
type entry struct {
	state    *Detector
	inbox    []letter
	sequence uint64
	// cleared holds the time of the last completion that it has heard of.
	cleared map[string]time.Duration
}

// letter is a report on its way.
type letter struct {
	report *clusterpb.CrashReport
	sent   time.Duration
}

// attempt is a request in flight at an upstream.
type attempt struct {
	request  string
	entry    int
	upstream int
	permit   bool
}

// world is a few entry VMs and upstreams, and the oracle: which crashes each
// request took part in, and when.
type world struct {
	now      time.Duration
	entries  []*entry
	flight   []attempt
	crashes  [upstreams]uint64
	permit   bool
	noPermit bool
	lost     int
	unaware  int
	took     map[string]map[Crash]time.Duration
	fault    string
}

func newWorld(r rules) *world {
	w := &world{took: make(map[string]map[Crash]time.Duration)}
	for range worldVMs {
		s := New(Limits{Threshold: 3, Hold: time.Hour, MaxReports: 1000})
		s.rules = r
		w.entries = append(w.entries, &entry{state: s, cleared: make(map[string]time.Duration)})
	}
	return w
}

// start sends a request through an entry VM, as the data path does.
func (w *world) start(name string, e, upstream int) {
	r := Request{"lotboard", name}
	state := w.entries[e].state
	if _, held := state.Snapshot().Blocked(w.now, r); held {
		w.checkHeld(name, e)
		return
	}
	suspect := state.Snapshot().Suspect(w.now, r)
	if suspect && w.permit {
		return
	}
	if name == killer && !suspect {
		w.unaware++
	}
	w.permit = w.permit || (suspect && !w.noPermit)
	w.flight = append(w.flight, attempt{name, e, upstream, suspect && !w.noPermit})
}

// checkHeld compares a quarantine with the crashes since the last completion
// that the entry VM has heard of.
func (w *world) checkHeld(name string, e int) {
	n := 0
	for _, at := range w.took[name] {
		if at > w.entries[e].cleared[name] {
			n++
		}
	}
	if n < 3 {
		w.fault = fmt.Sprintf("%s is quarantined after %d crashes", name, n)
	}
}

// resolve ends the attempts at an upstream: they complete, or crash it if the
// killer is among them.
func (w *world) resolve(upstream int) {
	var here, rest []attempt
	crash := false
	for _, a := range w.flight {
		if a.upstream != upstream {
			rest = append(rest, a)
			continue
		}
		here = append(here, a)
		crash = crash || a.request == killer
	}
	w.flight = rest
	for _, a := range here {
		w.end(a, crash)
	}
	if crash {
		w.crashes[upstream]++
		w.lost++
	}
}

func (w *world) end(a attempt, crashed bool) {
	c := Crash{fmt.Sprintf("u%d", a.upstream), w.crashes[a.upstream]}
	state := w.entries[a.entry].state
	switch {
	case crashed:
		if w.took[a.request] == nil {
			w.took[a.request] = make(map[Crash]time.Duration)
		}
		w.took[a.request][c] = w.now
		w.publish(a.entry, &clusterpb.CrashReport{Fingerprint: a.request, Upstream: c.Upstream, Incarnation: c.Incarnation})
	case state.Snapshot().Suspect(w.now, Request{"lotboard", a.request}):
		w.entries[a.entry].cleared[a.request] = w.now
		w.publish(a.entry, &clusterpb.CrashReport{Fingerprint: a.request, Released: true})
	}
	if a.permit {
		w.gossip()
		w.permit = false
	}
}

// publish merges a report at its origin and puts it on its way to the others.
func (w *world) publish(e int, r *clusterpb.CrashReport) {
	from := w.entries[e]
	from.sequence++
	r.Service, r.Entry, r.Sequence = "lotboard", fmt.Sprintf("e%d", e), from.sequence
	from.state.Merge(w.now, []*clusterpb.CrashReport{r})
	for i, other := range w.entries {
		if i != e {
			other.inbox = append(other.inbox, letter{r, w.now})
		}
	}
}

// gossip delivers all reports.
func (w *world) gossip() {
	for i := range w.entries {
		w.deliver(i)
	}
}

func (w *world) deliver(e int) {
	var reports []*clusterpb.CrashReport
	for _, l := range w.entries[e].inbox {
		l.report.AgeMs = uint32((w.now - l.sent) / time.Millisecond)
		reports = append(reports, l.report)
		if l.report.Released {
			cleared := w.entries[e].cleared
			cleared[l.report.Fingerprint] = max(cleared[l.report.Fingerprint], l.sent)
		}
	}
	w.entries[e].state.Merge(w.now, reports)
	w.entries[e].inbox = nil
}

// play returns the first contradiction, or "". Crashes are apart in time, so
// that none is discounted.
func play(t *rapid.T, w *world) string {
	names := []string{killer, killer, "a", "b", "c"}
	for range proofSteps {
		w.now += 3 * time.Second
		e := rapid.IntRange(0, worldVMs-1).Draw(t, "entry")
		u := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
		switch rapid.IntRange(0, 6).Draw(t, "what") {
		case 0, 1, 2:
			w.start(rapid.SampledFrom(names).Draw(t, "request"), e, u)
		case 3, 4:
			w.resolve(u)
		case 5:
			w.deliver(e)
		case 6:
			w.gossip()
		}
		if bound := w.unaware + 3 - 1; w.lost > bound {
			w.fault = fmt.Sprintf("%d upstreams lost, bound %d", w.lost, bound)
		}
		if w.fault != "" {
			return w.fault
		}
	}
	return ""
}

func TestProofLossesAreBoundedAndBystandersGoFree(t *testing.T) {
	proof.Check(t, func(rt *rapid.T) {
		for range 10 {
			if f := play(rt, newWorld(rules{})); f != "" {
				rt.Fatal(f)
			}
		}
	})
}

func TestProofNoticesRulesOff(t *testing.T) {
	tests := []struct {
		name     string
		rules    rules
		noPermit bool
	}{
		{name: "reports are counted in place of crashes", rules: rules{countReports: true}},
		{name: "a completion does not clear", rules: rules{ignoreReleases: true}},
		{name: "suspect requests run side by side", noPermit: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			faults := rapid.Custom(func(rt *rapid.T) string {
				w := newWorld(tt.rules)
				w.noPermit = tt.noPermit
				return play(rt, w)
			})
			caught := ""
			for seed := 0; seed < 5000 && caught == ""; seed++ {
				caught = faults.Example(seed)
			}
			assert.Assert(t, caught != "")
			t.Log(caught)
		})
	}
}
