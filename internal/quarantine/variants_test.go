package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// variantStep is a crash of an upstream with a variant of a request in flight or, if
// upstream is empty, the completion of a variant.
type variantStep struct {
	at            time.Duration
	caller, query string
	upstream      string
	trial         bool
}

// signature returns the signature of a request with the path "path".
func variantSignature(caller, query string) Signature {
	return Signature{Service: "lotboard", Exact: caller + " path?" + query, General: []string{"path?" + query, "path"}}
}

// With a threshold of 3, crashes of several variants must quarantine what these have
// in common, and crashes of one variant only that variant.
func TestVariantsAreQuarantinedByWhatTheyShare(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name  string
		steps []variantStep
		want  []string
	}{
		{
			name:  "one variant",
			steps: []variantStep{{at: 0, caller: "a", upstream: "u1"}, {at: 5 * s, caller: "a", upstream: "u2", trial: true}, {at: 10 * s, caller: "a", upstream: "u3", trial: true}},
			want:  []string{"a path?"},
		},
		{
			name:  "three callers",
			steps: []variantStep{{at: 0, caller: "a", upstream: "u1"}, {at: 5 * s, caller: "b", upstream: "u2", trial: true}, {at: 10 * s, caller: "c", upstream: "u3", trial: true}},
			want:  []string{"path?"},
		},
		{
			name: "another caller after one was quarantined",
			steps: []variantStep{
				{at: 0, caller: "a", upstream: "u1"}, {at: 5 * s, caller: "a", upstream: "u2", trial: true},
				{at: 10 * s, caller: "a", upstream: "u3", trial: true}, {at: 15 * s, caller: "b", upstream: "u4", trial: true},
			},
			want: []string{"a path?", "path?"},
		},
		{
			name: "another caller was in flight during a crash",
			steps: []variantStep{
				{at: 0, caller: "a", upstream: "u1"}, {at: 0, caller: "b", upstream: "u1"},
				{at: 5 * s, caller: "a", upstream: "u2", trial: true}, {at: 10 * s, caller: "a", upstream: "u3", trial: true},
			},
			want: []string{"a path?"},
		},
		{
			name: "three queries of several callers",
			steps: []variantStep{
				{at: 0, caller: "a", query: "1", upstream: "u1"}, {at: 5 * s, caller: "a", query: "2", upstream: "u2", trial: true}, {at: 10 * s, caller: "b", query: "3", upstream: "u3", trial: true},
			},
			want: []string{"path"},
		},
		{
			name: "another query completes",
			steps: []variantStep{
				{at: 0, caller: "a", query: "1", upstream: "u1"}, {at: 5 * s, caller: "b", query: "1", upstream: "u2", trial: true},
				{at: 6 * s, caller: "c", query: "2"}, {at: 10 * s, caller: "d", query: "1", upstream: "u3", trial: true},
			},
			want: []string{"path?1"},
		},
		{
			name: "the same query completes for another caller",
			steps: []variantStep{
				{at: 0, caller: "a", upstream: "u1"}, {at: 5 * s, caller: "a", upstream: "u2", trial: true}, {at: 6 * s, caller: "b"}, {at: 10 * s, caller: "a", upstream: "u3", trial: true},
			},
			want: []string{"a path?"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(Limits{Threshold: 3, Hold: time.Minute, MaxReports: 100})
			var now time.Duration
			for i, st := range tt.steps {
				now = st.at
				sig := variantSignature(st.caller, st.query)
				d.Merge(now, []*clusterpb.CrashReport{{
					Service: sig.Service, Fingerprint: sig.Exact, GeneralFingerprints: sig.General,
					Upstream: st.upstream, Released: st.upstream == "", Trial: st.trial, Entry: "e1", Sequence: uint64(i + 1),
				}})
			}
			now += isolationAfter
			var got []string
			for _, q := range d.Snapshot(now).Quarantined(now) {
				got = append(got, q.Request.Fingerprint)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// Without the rule on variants, crashes of one variant quarantine all.
func TestVariantRuleProtectsTheOthers(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		d := New(Limits{Threshold: 3, Hold: time.Minute, MaxReports: 100})
		d.disabled.variants = disabled
		for i := range 3 {
			sig := variantSignature("a", "1")
			d.Merge(0, []*clusterpb.CrashReport{{
				Service: sig.Service, Fingerprint: sig.Exact, GeneralFingerprints: sig.General,
				Upstream: fmt.Sprint(i), Trial: i > 0, Entry: "e1", Sequence: uint64(i + 1),
			}})
		}
		v := d.Judge(isolationAfter, variantSignature("b", "1"), &Completions{})
		assert.Equal(t, v.State == Quarantined, disabled)
		assert.Equal(t, v.State == Suspect, !disabled)
	}
}

// TestCrashingRequestsDoNotClearEachOther guards against several crashing requests
// that are not held off, because their crashes are never isolated.
func TestCrashingRequestsDoNotClearEachOther(t *testing.T) {
	const requests, threshold = 4, 3
	d := New(Limits{Threshold: threshold, Hold: time.Minute, MaxReports: 100})
	var rep reporter
	now := time.Duration(0)
	for i := range requests * threshold {
		now += 200 * time.Millisecond
		report := rep.crash(fmt.Sprint(i%requests), fmt.Sprint("u", i))
		report.Trial = i >= requests
		d.Merge(now, []*clusterpb.CrashReport{report})
	}
	now += isolationAfter
	assert.Equal(t, len(d.Snapshot(now).Quarantined(now)), requests)
}

// TestCompletingRequestIsNotBlamedForOthers guards against a harmless request that is
// quarantined because it is often in flight when crashing requests end upstreams: its
// completions at another entry VM lie before these crashes.
func TestCompletingRequestIsNotBlamedForOthers(t *testing.T) {
	d := New(Limits{Threshold: 3, Hold: time.Minute, MaxReports: 100})
	var rep reporter
	now := time.Duration(0)
	for i := range 16 {
		now += 100 * time.Millisecond
		upstream := fmt.Sprint("u", i)
		crash := rep.crash(fmt.Sprint(i%4), upstream)
		crash.Trial = i >= 4
		d.Merge(now, []*clusterpb.CrashReport{crash})
		if i%2 == 0 {
			d.Merge(now, []*clusterpb.CrashReport{rep.crash("harmless", upstream)})
		}
	}
	v := d.Judge(now+isolationAfter, Signature{Service: "lotboard", Exact: "harmless"}, &Completions{})
	assert.Equal(t, v.State, Suspect)
}

func TestCompletionsAreRememberedForAWhile(t *testing.T) {
	var c Completions
	done, other := variantSignature("a", "1"), variantSignature("b", "2")
	c.Record(time.Minute, done)
	assert.DeepEqual(t, c.Uncompleted(time.Minute, other), []string{"path?2"})
	assert.Equal(t, len(c.Uncompleted(time.Minute+completionMemory, done)), 0)
	assert.DeepEqual(t, c.Uncompleted(time.Minute+2*completionMemory, done), done.General)
	c.Record(2*time.Minute, done)
	c.RecordCrash(other)
	assert.DeepEqual(t, c.Uncompleted(2*time.Minute, done), []string{"path?1"}[:0])
	assert.DeepEqual(t, c.Uncompleted(2*time.Minute, variantSignature("a", "3")), []string{"path?3", "path"})
	for i := range 2 * maxCompletions {
		c.Record(2*time.Minute, variantSignature("a", fmt.Sprint(i)))
	}
	assert.Assert(t, len(c.current)+len(c.previous) <= maxCompletions+2)
	assert.Equal(t, len(c.Uncompleted(2*time.Minute, variantSignature("a", fmt.Sprint(2*maxCompletions-1)))), 0)
}
