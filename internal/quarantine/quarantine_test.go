package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

var testLimits = Limits{Threshold: 2, Hold: time.Minute, MaxReports: 100}

// reporter makes crash reports of one entry VM.
type reporter struct {
	sequence uint64
}

func (r *reporter) crash(fingerprint, upstream string) *clusterpb.CrashReport {
	r.sequence++
	return &clusterpb.CrashReport{Service: "lotboard", Fingerprint: fingerprint, Upstream: upstream, Entry: "e1", Sequence: r.sequence}
}

// trial reports a crash in a trial.
func (r *reporter) trial(fingerprint, upstream string) *clusterpb.CrashReport {
	report := r.crash(fingerprint, upstream)
	report.Trial = true
	return report
}

func (r *reporter) release(fingerprint string) *clusterpb.CrashReport {
	report := r.crash(fingerprint, "")
	report.Released = true
	return report
}

// step is a request that was in flight during a crash or that completed.
type step struct {
	at      time.Duration
	request string
	// upstream is the upstream that crashed; it is empty if the request
	// completed.
	upstream string
	// trial is set if the request was a trial.
	trial bool
}

// Quarantine with a threshold of 3: one crash, and two of trials.
func TestQuarantineDecisions(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	tests := []struct {
		name        string
		steps       []step
		quarantined []string
		// disabled is the rule under test; quarantinedIfDisabled is the result
		// without it.
		disabled              disabledRules
		quarantinedIfDisabled []string
	}{
		{name: "one crash and one trial are not enough", steps: []step{{0, "a", "u1", false}, {s, "a", "u2", true}}},
		{
			name:                  "one crash and two trials",
			steps:                 []step{{0, "a", "u1", false}, {s, "a", "u2", true}, {2 * s, "a", "u3", true}},
			quarantined:           []string{"a"},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name:  "two reports of the same crash",
			steps: []step{{0, "a", "u1", false}, {s, "a", "u2", true}, {s + ms, "a", "u2", true}},
		},
		{
			name:                  "completed in between",
			steps:                 []step{{0, "a", "u1", false}, {s, "a", "u2", true}, {2 * s, "a", "", false}, {5 * s, "a", "u3", true}},
			disabled:              disabledRules{release: true},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "many crashes before the request was suspect",
			steps: []step{
				{0, "a", "u1", false}, {100 * ms, "a", "u2", false}, {200 * ms, "a", "u3", false}, {300 * ms, "a", "u4", false}, {400 * ms, "a", "u5", false},
			},
			disabled:              disabledRules{trials: true},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "upstreams end for another reason during the trials",
			steps: []step{
				{0, "a", "u1", false}, {300 * ms, "a", "u2", true}, {600 * ms, "a", "u3", true}, {700 * ms, "b", "u4", false},
			},
			disabled:              disabledRules{isolation: true},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "they ended for another reason during the first trial only",
			steps: []step{
				{0, "a", "u1", false}, {300 * ms, "a", "u2", true}, {400 * ms, "b", "u4", false}, {2 * s, "a", "u3", true},
			},
			quarantined:           []string{"a"},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "five trials while upstreams end for another reason",
			steps: []step{
				{0, "a", "u1", false}, {s, "a", "u2", true}, {s, "b", "u3", false}, {2 * s, "a", "u4", true}, {2 * s, "b", "u5", false},
				{3 * s, "a", "u6", true}, {3 * s, "b", "u7", false}, {4 * s, "a", "u8", true}, {4 * s, "b", "u9", false}, {5 * s, "a", "u10", true}, {5 * s, "b", "u11", false},
			},
			quarantined:           []string{"a"},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "two crashing requests at the same time",
			steps: []step{
				{0, "a", "u1", false}, {0, "b", "u2", false}, {s, "a", "u3", true}, {s, "b", "u4", true}, {2 * s, "a", "u5", true}, {2 * s, "b", "u6", true},
			},
			quarantined:           []string{"a", "b"},
			quarantinedIfDisabled: []string{"a", "b"},
		},
		{
			name: "another upstream ended in a trial of a request that it does not explain",
			steps: []step{
				{0, "a", "u1", false}, {0, "b", "u2", false}, {s, "a", "u3", true}, {2 * s, "a", "u4", true}, {2 * s, "b", "u5", true},
			},
			disabled:              disabledRules{isolation: true},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "two trials at the same upstreams as those of another request",
			steps: []step{
				{0, "a", "u1", false}, {0, "b", "u1", false}, {s, "a", "u2", true}, {s, "b", "u2", true}, {2 * s, "a", "u3", true}, {2 * s, "b", "u3", true},
			},
			disabled:              disabledRules{single: true},
			quarantinedIfDisabled: []string{"a", "b"},
		},
		{
			name: "the other request has completed since",
			steps: []step{
				{0, "a", "u1", false}, {0, "b", "u1", false}, {s, "a", "u2", true}, {s, "b", "u2", true}, {2 * s, "a", "u3", true}, {2 * s, "b", "u3", true},
				{2*s + 100*ms, "b", "", false},
			},
			quarantined:           []string{"a"},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "an upstream without requests ended as well",
			steps: []step{
				{0, "a", "u1", false}, {s, "a", "u2", true}, {2 * s, "a", "u3", true}, {2*s + 400*ms, "", "u4", false},
			},
			disabled:              disabledRules{isolation: true},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "a request was in flight during the crashes of another one",
			steps: []step{
				{0, "a", "u1", false}, {0, "b", "u1", false}, {s, "a", "u2", true}, {s, "b", "u2", false}, {2 * s, "a", "u3", true},
			},
			quarantined:           []string{"a"},
			disabled:              disabledRules{trials: true, single: true},
			quarantinedIfDisabled: []string{"a", "b"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, quarantinedAfter(tt.steps, disabledRules{}), tt.quarantined)
			assert.DeepEqual(t, quarantinedAfter(tt.steps, tt.disabled), tt.quarantinedIfDisabled)
		})
	}
}

// quarantinedAfter returns the fingerprints of the requests that are
// quarantined after the steps.
func quarantinedAfter(steps []step, disabled disabledRules) []string {
	d, rep := New(Limits{Threshold: 3, Hold: time.Minute, MaxReports: 100}), &reporter{}
	d.disabled = disabled
	var now time.Duration
	for _, st := range steps {
		now = st.at
		report := rep.crash(st.request, st.upstream)
		report.Released = st.upstream == "" && st.request != ""
		report.Trial = st.trial
		d.Merge(now, []*clusterpb.CrashReport{report})
	}
	var quarantined []string
	now += isolationAfter
	for _, q := range d.Snapshot(now).Quarantined(now) {
		quarantined = append(quarantined, q.Request.Fingerprint)
	}
	return quarantined
}

func TestQuarantineEndsAfterHoldOrRelease(t *testing.T) {
	d, rep := New(testLimits), &reporter{}
	r := Request{"lotboard", "a"}
	d.Merge(0, []*clusterpb.CrashReport{rep.crash("a", "u1"), rep.trial("a", "u2")})
	remaining, ok := d.Snapshot(time.Second).Blocked(time.Second, r)
	assert.Assert(t, ok)
	assert.Equal(t, remaining, 59*time.Second)
	d.Expire(time.Minute)
	assert.Assert(t, !d.Snapshot(time.Minute).Suspect(time.Minute, r))
	assert.Equal(t, d.Hash(), uint64(0))

	d.Merge(time.Minute, []*clusterpb.CrashReport{rep.crash("a", "u3"), rep.trial("a", "u4")})
	d.Merge(time.Minute, []*clusterpb.CrashReport{rep.release("a")})
	assert.Assert(t, !d.Snapshot(time.Minute).Suspect(time.Minute, r))
}

// TestPausesBetweenTrials checks the time of the next trial after each crash.
func TestPausesBetweenTrials(t *testing.T) {
	d, rep := New(Limits{Threshold: 10, Hold: time.Minute, MaxReports: 100}), &reporter{}
	sig := Signature{Service: "lotboard", Exact: "a"}
	assert.Equal(t, d.Judge(0, sig, &Completions{}).State, Clear)
	d.Merge(time.Second, []*clusterpb.CrashReport{rep.crash("a", "u0")})
	now := time.Second
	for i, pause := range []time.Duration{0, firstTrialPause, 2 * firstTrialPause, 4 * firstTrialPause, 8 * firstTrialPause} {
		v := d.Judge(now, sig, &Completions{})
		assert.Equal(t, v.State, Suspect)
		wait := max(0, v.TrialAt-now)
		assert.Assert(t, wait >= pause && wait <= max(firstTrialSpread, pause*3/2), "trial %d after %s", i+1, wait)
		now = max(now, v.TrialAt) + 100*time.Millisecond
		d.Merge(now, []*clusterpb.CrashReport{rep.trial("a", fmt.Sprint("u", i+1)), rep.crash("", fmt.Sprint("v", i+1))})
	}
	assert.Equal(t, d.Judge(now, sig, &Completions{}).State, Suspect)
	assert.Equal(t, d.Judge(now+isolationAfter, sig, &Completions{}).State, Quarantined)
}

// TestCrashesMatterAfterTrials checks for how long crashes of upstreams without a
// request in flight are worth a report.
func TestCrashesMatterAfterTrials(t *testing.T) {
	d, rep := New(testLimits), &reporter{}
	d.Merge(0, []*clusterpb.CrashReport{rep.crash("a", "u1")})
	assert.Assert(t, !d.AtStake(0, "lotboard"))
	d.Merge(time.Second, []*clusterpb.CrashReport{rep.trial("a", "u2")})
	assert.Assert(t, d.AtStake(time.Second+isolationAfter, "lotboard"))
	assert.Assert(t, !d.AtStake(time.Second+isolationAfter+1, "lotboard"))
	assert.Assert(t, d.Knows("lotboard", Crash{"u2", 0}))
	assert.Assert(t, !d.Knows("lotboard", Crash{"u2", 1}))
}

// TestCompletionsHereComeBeforeCrashes guards against a request with many callers that
// is slowed down at all entry VMs whenever an upstream ends, or refused although it
// completes.
func TestCompletionsHereComeBeforeCrashes(t *testing.T) {
	d, rep := New(Limits{Threshold: 3, Hold: time.Minute, MaxReports: 100}), &reporter{}
	report := func(caller, upstream string, trial bool) *clusterpb.CrashReport {
		r := rep.crash(caller, upstream)
		r.GeneralFingerprints, r.Trial = []string{"any caller"}, trial
		return r
	}
	sign := func(caller string) Signature {
		return Signature{Service: "lotboard", Exact: caller, General: []string{"any caller"}}
	}
	var here, elsewhere Completions
	here.Record(0, sign("a"))
	d.Merge(time.Second, []*clusterpb.CrashReport{report("b", "u1", false)})
	assert.Equal(t, d.Judge(time.Second, sign("c"), &here).State, Clear)
	assert.Equal(t, d.Judge(time.Second, sign("c"), &elsewhere).State, Suspect)
	// Trials elsewhere outweigh older completions, and newer completions outweigh them.
	d.Merge(2*time.Second, []*clusterpb.CrashReport{report("c", "u2", true)})
	assert.Equal(t, d.Judge(2*time.Second, sign("d"), &here).State, Suspect)
	d.Merge(3*time.Second, []*clusterpb.CrashReport{report("d", "u3", true)})
	assert.Equal(t, d.Judge(4*time.Second, sign("e"), &here).State, Quarantined)
	here.Record(3100*time.Millisecond, sign("a"))
	assert.Equal(t, d.Judge(4*time.Second, sign("e"), &here).State, Clear)
	assert.Equal(t, d.Judge(4*time.Second, sign("e"), &elsewhere).State, Quarantined)
	// A crash here ends the trust in older completions.
	here.RecordCrash(sign("f"))
	d.Merge(5*time.Second, []*clusterpb.CrashReport{report("f", "u4", false)})
	assert.Equal(t, d.Judge(5*time.Second, sign("e"), &here).State, Suspect)
}
