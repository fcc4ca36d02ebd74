package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/proptest"
)

// event is one step of a random scenario. A, B and Flag select what the action
// applies to, such as a VM, a key or a message.
type event struct {
	Action string
	A, B   int
	Flag   bool
}

// actions lists the possible actions of an event, repeated by their weight. "run"
// claims a key and sends the request. "deliver all" completes calls and syncs.
// "claim at few members" delivers the claim to at most two members. "unnoticed
// restart" is a restart of which one VM does not learn.
var actions = []string{
	"begin", "begin", "run", "run", "run", "deliver all", "deliver all", "deliver", "deliver some", "deliver some",
	"poll calls", "send", "send", "finish", "release unsent", "drop", "drop all", "duplicate",
	"partition", "partition", "partition", "delay all", "resume delayed", "unnoticed restart", "unnoticed restart",
	"claim at few members", "claim at few members",
	"restart", "restart", "reconfigure", "reconfigure", "apply epoch", "apply epoch", "apply newest epoch", "advance time", "advance time",
}

var keys = []string{"k0", "k1"}

type scenario struct {
	VMs        int
	LongPauses bool
	Events     []event
}

var scenarios = rapid.Custom(func(t *rapid.T) scenario {
	events := rapid.Custom(func(t *rapid.T) event {
		return event{
			Action: rapid.SampledFrom(actions).Draw(t, "action"),
			A:      rapid.IntRange(0, 63).Draw(t, "a"),
			B:      rapid.IntRange(0, 63).Draw(t, "b"),
			Flag:   rapid.Bool().Draw(t, "flag"),
		}
	})
	return scenario{
		VMs:        rapid.SampledFrom([]int{1, 2, 3, 3, 3, 4, 4, 5, 6}).Draw(t, "vms"),
		LongPauses: rapid.Bool().Draw(t, "long pauses"),
		Events:     rapid.SliceOfN(events, 10, 60).Draw(t, "events"),
	}
})

// runScenario runs a scenario and returns the first violation, or "".
func runScenario(s scenario, disabled disabledRules, skipStartCheck bool) string {
	sim := newSimulation(s.VMs, disabled)
	sim.skipStartCheck = skipStartCheck
	for _, e := range s.Events {
		sim.apply(e, s.LongPauses)
		if sim.violation != "" {
			return sim.violation
		}
	}
	return ""
}

func (sim *simulation) apply(e event, longPauses bool) {
	switch e.Action {
	case "begin":
		sim.begin(e.A, keys[e.B%len(keys)], byte(e.B/32))
	case "run":
		sim.begin(e.A, keys[e.B%len(keys)], byte(e.B/32))
		sim.deliverAll(1)
		sim.forEachCall(e, sim.send)
	case "claim at few members":
		sim.delayed, sim.inFlight = append(sim.delayed, sim.inFlight...), nil
		sim.begin(e.A, keys[e.B%len(keys)], 0)
		sim.deliver(e.B, false)
		sim.deliver(len(sim.inFlight)-1, false)
		sim.inFlight = nil
	case "unnoticed restart":
		sim.restart(e.A)
		sim.reconfigure(0)
		for i := range sim.procs {
			if i != e.B%len(sim.procs) || i == e.A%len(sim.procs) {
				sim.applyEpoch(i, true)
			}
		}
	case "deliver all":
		sim.deliverAll(2)
	case "deliver":
		sim.deliver(e.A, false)
	case "duplicate":
		sim.deliver(e.A, true)
	case "deliver some":
		for range min(len(sim.inFlight), e.A) {
			sim.deliver(0, false)
		}
	case "drop":
		if n := len(sim.inFlight); n > 0 {
			sim.inFlight = append(sim.inFlight[:e.A%n:e.A%n], sim.inFlight[e.A%n+1:]...)
		}
	case "drop all":
		sim.inFlight = nil
	case "partition":
		sim.unreachableVMs = e.A & e.B & (1<<len(sim.procs) - 1)
	case "delay all":
		sim.delayed, sim.inFlight = append(sim.delayed, sim.inFlight...), nil
	case "resume delayed":
		sim.inFlight, sim.delayed = append(sim.inFlight, sim.delayed...), nil
	case "poll calls":
		sim.pollCalls(e.A)
	case "send":
		sim.forEachCall(e, sim.send)
	case "finish":
		sim.forEachCall(e, func(c *call) { sim.finish(c, e.Flag) })
	case "release unsent":
		sim.forEachCall(e, sim.releaseUnsent)
	case "restart":
		sim.restart(e.A)
	case "reconfigure":
		sim.reconfigure(e.B & (e.A % 8))
	case "apply epoch":
		sim.applyEpoch(e.A, e.Flag)
	case "apply newest epoch":
		for i := range sim.procs {
			sim.applyEpoch(i, true)
		}
	case "advance time":
		sim.advanceTime(pauseOf(e, longPauses))
	}
}

// deliverAll delivers all messages in flight and those that follow from them, at
// most 500 in a round, and polls the calls of all VMs after each round.
func (sim *simulation) deliverAll(rounds int) {
	for range rounds {
		for n := 0; len(sim.inFlight) > 0 && n < 500; n++ {
			sim.deliver(0, false)
		}
		for i := range sim.procs {
			sim.pollCalls(i)
		}
		sim.advanceTime(syncRetryDelay)
	}
}

// pauseOf returns by how much the event advances the time: less than 16 minutes
// if the pause is long, otherwise less than 320 ms.
func pauseOf(e event, longPauses bool) time.Duration {
	if longPauses && e.Flag {
		return time.Duration(e.A) * time.Minute / 4
	}
	return time.Duration(e.A) * 5 * time.Millisecond
}

// forEachCall applies f to the calls of the VM that the event selects.
func (sim *simulation) forEachCall(e event, f func(*call)) {
	for _, c := range sim.procs[e.A%len(sim.procs)].calls {
		f(c)
	}
}

// releaseUnsent releases the claim of a granted call without sending it.
func (sim *simulation) releaseUnsent(c *call) {
	if !c.sent {
		sim.finish(c, false)
	}
}

// scenariosPerCheck is the number of scenarios that one check runs.
const scenariosPerCheck = 30

// TestProofEachKeyRunsAtMostOnce checks that no request is sent twice under one
// key within the retention, and that only real responses are replayed, while VMs
// restart and messages are lost, delayed and duplicated.
func TestProofEachKeyRunsAtMostOnce(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		for range scenariosPerCheck {
			if f := runScenario(scenarios.Draw(rt, "scenario"), disabledRules{}, false); f != "" {
				rt.Fatal(f)
			}
		}
	})
}

// maxSeed ends the search for a scenario that shows the effect of a disabled rule.
const maxSeed = 100000

// TestProofDetectsEachDisabledRule checks that the simulation reports a violation
// for each safety rule that is disabled. For rare violations, the search starts
// at a seed shortly before a known one.
func TestProofDetectsEachDisabledRule(t *testing.T) {
	tests := []struct {
		name           string
		disabled       disabledRules
		skipStartCheck bool
		firstSeed      int
	}{
		{name: "member votes before it has synced", disabled: disabledRules{syncBeforeVote: true}},
		{name: "votes of different intervals are added up", disabled: disabledRules{votesOfOneInterval: true}, firstSeed: 41200},
		{name: "member stores only one attempt at a key", disabled: disabledRules{keepAllAttempts: true}},
		{name: "sync is inherited without quorum overlap", disabled: disabledRules{quorumOverlap: true}, firstSeed: 1400},
		{name: "sync completes with the records of one member", disabled: disabledRules{syncFromReadQuorum: true}, firstSeed: 1000},
		{name: "no check before the request is sent", skipStartCheck: true, firstSeed: 3800},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			detected := false
			for seed := tt.firstSeed; seed < maxSeed && !detected; seed++ {
				if f := runScenario(scenarios.Example(seed), tt.disabled, tt.skipStartCheck); f != "" {
					t.Logf("seed %d: %s", seed, f)
					detected = true
				}
			}
			assert.Assert(t, detected)
		})
	}
}
