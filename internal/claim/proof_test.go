package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/proof"
)

// step is one event of a script: what happens, and to whom.
type step struct {
	What  string
	A, B  int
	Again bool
}

// events are listed as often as they should be drawn. "run" and "settle" are
// shorthands that bring calls and syncs to their end; "touch" is a call that
// reaches one member; "roll" is a restart that one VM does not learn of.
var events = []string{
	"begin", "begin", "run", "run", "run", "settle", "settle", "deliver", "flush", "flush",
	"advance", "send", "send", "finish", "shed", "drop", "drop all", "copy",
	"cut", "cut", "cut", "hold", "resume", "roll", "roll", "touch", "touch",
	"restart", "restart", "reconfigure", "reconfigure", "learn", "learn", "learn all", "tick", "tick",
}

var keys = []string{"k0", "k1"}

type script struct {
	VMs   int
	Long  bool
	Steps []step
}

var scripts = rapid.Custom(func(t *rapid.T) script {
	steps := rapid.Custom(func(t *rapid.T) step {
		return step{
			What:  rapid.SampledFrom(events).Draw(t, "what"),
			A:     rapid.IntRange(0, 63).Draw(t, "a"),
			B:     rapid.IntRange(0, 63).Draw(t, "b"),
			Again: rapid.Bool().Draw(t, "again"),
		}
	})
	return script{
		VMs:   rapid.SampledFrom([]int{1, 2, 3, 3, 3, 4, 4, 5, 6}).Draw(t, "vms"),
		Long:  rapid.Bool().Draw(t, "long"),
		Steps: rapid.SliceOfN(steps, 10, 60).Draw(t, "steps"),
	}
})

// play returns the first contradiction to the oracle, or "".
func play(s script, r rules, noStart bool) string {
	w := newWorld(s.VMs, r)
	w.noStart = noStart
	for _, st := range s.Steps {
		w.step(st, s.Long)
		if w.fault != "" {
			return w.fault
		}
	}
	return ""
}

func (w *world) step(s step, long bool) {
	switch s.What {
	case "begin":
		w.begin(s.A, keys[s.B%len(keys)], byte(s.B/32))
	case "run":
		w.begin(s.A, keys[s.B%len(keys)], byte(s.B/32))
		w.settle(1)
		w.each(s, w.send)
	case "touch":
		w.held, w.flight = append(w.held, w.flight...), nil
		w.begin(s.A, keys[s.B%len(keys)], 0)
		w.deliver(s.B, false)
		w.deliver(len(w.flight)-1, false)
		w.flight = nil
	case "roll":
		w.restart(s.A)
		w.reconfigure(0)
		for i := range w.procs {
			if i != s.B%len(w.procs) || i == s.A%len(w.procs) {
				w.learn(i, true)
			}
		}
	case "settle":
		w.settle(2)
	case "deliver":
		w.deliver(s.A, false)
	case "copy":
		w.deliver(s.A, true)
	case "flush":
		for range min(len(w.flight), s.A) {
			w.deliver(0, false)
		}
	case "drop":
		if n := len(w.flight); n > 0 {
			w.flight = append(w.flight[:s.A%n:s.A%n], w.flight[s.A%n+1:]...)
		}
	case "drop all":
		w.flight = nil
	case "cut":
		w.cut = s.A & s.B & (1<<len(w.procs) - 1)
	case "hold":
		w.held, w.flight = append(w.held, w.flight...), nil
	case "resume":
		w.flight, w.held = append(w.flight, w.held...), nil
	case "advance":
		w.advance(s.A)
	case "send":
		w.each(s, w.send)
	case "finish":
		w.each(s, func(c *call) { w.finish(c, s.Again) })
	case "shed":
		w.each(s, w.shed)
	case "restart":
		w.restart(s.A)
	case "reconfigure":
		w.reconfigure(s.B & (s.A % 8))
	case "learn":
		w.learn(s.A, s.Again)
	case "learn all":
		for i := range w.procs {
			w.learn(i, true)
		}
	case "tick":
		w.tick(pause(s, long))
	}
}

// settle delivers everything in flight and what follows from it.
func (w *world) settle(rounds int) {
	for range rounds {
		for n := 0; len(w.flight) > 0 && n < 500; n++ {
			w.deliver(0, false)
		}
		for i := range w.procs {
			w.advance(i)
		}
		w.tick(syncRetry)
	}
}

func pause(s step, long bool) time.Duration {
	if long && s.Again {
		return time.Duration(s.A) * time.Minute / 4
	}
	return time.Duration(s.A) * 5 * time.Millisecond
}

// each applies f to the calls of one VM.
func (w *world) each(s step, f func(*call)) {
	for _, c := range w.procs[s.A%len(w.procs)].calls {
		f(c)
	}
}

// shed releases a granted call that an upstream refused to run.
func (w *world) shed(c *call) {
	if !c.sent {
		w.finish(c, false)
	}
}

// scriptsPerCheck is the number of scripts that one check plays.
const scriptsPerCheck = 30

func TestProofOneRunPerKey(t *testing.T) {
	proof.Check(t, func(rt *rapid.T) {
		for range scriptsPerCheck {
			if f := play(scripts.Draw(rt, "script"), rules{}, false); f != "" {
				rt.Fatal(f)
			}
		}
	})
}

// seedsToFail bounds the scripts that are tried to catch a rule switched off.
const seedsToFail = 100000

// TestProofNoticesRulesOff shows that the oracle catches each rule when it is
// switched off. A search for a rare contradiction starts close to it.
func TestProofNoticesRulesOff(t *testing.T) {
	tests := []struct {
		name    string
		rules   rules
		noStart bool
		from    int
	}{
		{name: "votes before it is covered", rules: rules{grantUncovered: true}},
		{name: "votes of different eras are added up", rules: rules{voteInOldEra: true}, from: 41200},
		{name: "a merge keeps one attempt only", rules: rules{forgetRivals: true}},
		{name: "coverage carries over to any group", rules: rules{alwaysCarry: true}, from: 1400},
		{name: "the records of one member are enough", rules: rules{readOne: true}, from: 1000},
		{name: "no check before the first byte", noStart: true, from: 3800},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caught := false
			for seed := tt.from; seed < seedsToFail && !caught; seed++ {
				if f := play(scripts.Example(seed), tt.rules, tt.noStart); f != "" {
					t.Logf("seed %d: %s", seed, f)
					caught = true
				}
			}
			assert.Assert(t, caught)
		})
	}
}
