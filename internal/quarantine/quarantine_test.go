package quarantine

import (
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
}

func TestQuarantineDecisions(t *testing.T) {
	tests := []struct {
		name        string
		steps       []step
		quarantined []string
		// disabled is the rule under test; quarantinedIfDisabled is the result
		// without it.
		disabled              disabledRules
		quarantinedIfDisabled []string
	}{
		{name: "one crash is below the threshold", steps: []step{{0, "a", "u1"}}},
		{name: "two crashes", steps: []step{{0, "a", "u1"}, {5 * time.Second, "a", "u2"}}, quarantined: []string{"a"}, quarantinedIfDisabled: []string{"a"}},
		{name: "two reports of the same crash", steps: []step{{0, "a", "u1"}, {time.Second, "a", "u1"}}},
		{
			name:                  "completed in between",
			steps:                 []step{{0, "a", "u1"}, {time.Second, "a", ""}, {5 * time.Second, "a", "u2"}},
			disabled:              disabledRules{release: true},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name:                  "a different second request at each crash",
			steps:                 []step{{0, "a", "u1"}, {0, "b", "u1"}, {9 * time.Second, "a", "u2"}, {9 * time.Second, "c", "u2"}},
			quarantined:           []string{"a"},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "many upstreams crash at the same time",
			steps: []step{
				{0, "a", "u1"}, {0, "b", "u2"}, {0, "c", "u3"}, {0, "d", "u4"}, {time.Second, "a", "u5"},
			},
			disabled:              disabledRules{coincidence: true},
			quarantinedIfDisabled: []string{"a"},
		},
		{
			name: "crashes are attributed to the request with more of them",
			steps: []step{
				{0, "a", "u1"}, {0, "b", "u1"}, {9 * time.Second, "a", "u2"}, {9 * time.Second, "b", "u2"}, {18 * time.Second, "a", "u3"},
			},
			quarantined:           []string{"a"},
			disabled:              disabledRules{attribution: true},
			quarantinedIfDisabled: []string{"a", "b"},
		},
		{
			name: "twice the threshold despite coincident crashes",
			steps: []step{
				{0, "a", "u1"}, {0, "b", "u2"}, {9 * time.Second, "a", "u3"}, {9 * time.Second, "c", "u4"},
				{18 * time.Second, "a", "u5"}, {18 * time.Second, "d", "u6"}, {27 * time.Second, "a", "u7"}, {27 * time.Second, "e", "u8"},
			},
			quarantined:           []string{"a"},
			quarantinedIfDisabled: []string{"a"},
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
	d, rep := New(testLimits), &reporter{}
	d.disabled = disabled
	var now time.Duration
	for _, st := range steps {
		now = st.at
		report := rep.crash(st.request, st.upstream)
		report.Released = st.upstream == ""
		d.Merge(now, []*clusterpb.CrashReport{report})
	}
	var quarantined []string
	for _, q := range d.Snapshot(now).Quarantined(now) {
		quarantined = append(quarantined, q.Request.Fingerprint)
	}
	return quarantined
}

func TestQuarantineEndsAfterHoldOrRelease(t *testing.T) {
	d, rep := New(testLimits), &reporter{}
	r := Request{"lotboard", "a"}
	d.Merge(0, []*clusterpb.CrashReport{rep.crash("a", "u1"), rep.crash("a", "u2")})
	remaining, ok := d.Snapshot(time.Second).Blocked(time.Second, r)
	assert.Assert(t, ok)
	assert.Equal(t, remaining, 59*time.Second)
	d.Expire(time.Minute)
	assert.Assert(t, !d.Snapshot(time.Minute).Suspect(time.Minute, r))
	assert.Equal(t, d.Hash(), uint64(0))

	d.Merge(time.Minute, []*clusterpb.CrashReport{rep.crash("a", "u3"), rep.crash("a", "u4")})
	d.Merge(time.Minute, []*clusterpb.CrashReport{rep.release("a")})
	assert.Assert(t, !d.Snapshot(time.Minute).Suspect(time.Minute, r))
}
