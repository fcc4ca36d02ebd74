package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Guards against BUDGET: an entry VM that had just started sent a request that others had
// quarantined before they were all lost.
func TestConvictionOfTheConfigurationQuarantines(t *testing.T) {
	const hold = 10 * time.Minute
	sig := Signature{Service: "s", Exact: "exact", General: []string{"general"}}
	general := Request{"s", "general"}
	var completions Completions
	judge := func(d *Detector, now time.Duration) State { return d.Judge(now, sig, &completions).State }

	d := New(Limits{Threshold: 3, Hold: hold, MaxReports: 100})
	assert.Equal(t, judge(d, time.Second), Clear)
	convictions := []Conviction{{Request: general, CrashedAt: -time.Minute, Until: 4 * time.Minute}}
	d.SetConvictions(time.Second, convictions)
	v := d.Judge(time.Second, sig, &completions)
	assert.Equal(t, v.State, Quarantined)
	assert.Equal(t, v.By, general)
	assert.Equal(t, v.Left, 4*time.Minute-time.Second)
	assert.Equal(t, d.Judge(time.Second, Signature{Service: "other", General: sig.General}, &completions).State, Clear)
	assert.Equal(t, len(d.Snapshot(time.Second).Quarantined(time.Second)), 1)

	// The clock of the leader may be behind: the configuration decides when it ends.
	assert.Equal(t, judge(d, 5*time.Minute), Quarantined)
	d.SetConvictions(6*time.Minute, convictions)
	assert.Equal(t, judge(d, hold+time.Second), Clear, "a conviction that nobody removes must lapse")

	d.SetConvictions(hold+2*time.Second, nil)
	d.SetConvictions(hold+3*time.Second, convictions)
	assert.Equal(t, judge(d, hold+4*time.Second), Quarantined)
	assert.Equal(t, len(d.Released()), 0)
	d.Merge(hold+5*time.Second, []*clusterpb.CrashReport{{Service: "s", GeneralFingerprints: []string{"general"}, Released: true, Entry: "e", Sequence: 1}})
	assert.Equal(t, judge(d, hold+6*time.Second), Clear, "a release ends a conviction")
	assert.DeepEqual(t, d.Released(), []Request{general})
}

// Guards against convictions that are reported to control again and again, or not at all.
func TestUnrecordedConvictionsAreThoseThatTheConfigurationLacks(t *testing.T) {
	d := New(Limits{Threshold: 2, Hold: time.Hour, MaxReports: 100})
	r := Request{"s", "f"}
	for i, upstream := range []string{"u1", "u2"} {
		d.Merge(time.Duration(i)*time.Second, []*clusterpb.CrashReport{{Service: "s", Fingerprint: "f", Upstream: upstream, Trial: i > 0, Entry: "e", Sequence: uint64(i + 1)}})
	}
	const now = 5 * time.Second
	want := []Conviction{{Request: r, CrashedAt: time.Second, Until: time.Hour + time.Second}}
	assert.DeepEqual(t, d.Unrecorded(now), want)
	assert.Assert(t, d.HasReportBy(r, "e") && !d.HasReportBy(r, "other"))
	// Another VM has measured a slightly different time of the crash.
	d.SetConvictions(now, []Conviction{{Request: r, CrashedAt: 0, Until: time.Hour}})
	assert.Equal(t, len(d.Unrecorded(now)), 0)
	d.SetConvictions(now, nil)
	assert.Equal(t, len(d.Unrecorded(now)), 1)
	d.Expire(2 * time.Hour)
	assert.Equal(t, len(d.Unrecorded(2*time.Hour)), 0)
	assert.Equal(t, len(d.index.onTrial), 0)
}
