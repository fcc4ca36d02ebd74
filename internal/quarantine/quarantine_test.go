package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

var testLimits = Limits{Threshold: 2, Hold: time.Minute, MaxReports: 100}

// evidence builds reports of one entry VM.
type evidence struct {
	sequence uint64
}

func (e *evidence) crash(fingerprint, upstream string) *clusterpb.CrashReport {
	e.sequence++
	return &clusterpb.CrashReport{Service: "lotboard", Fingerprint: fingerprint, Upstream: upstream, Entry: "e1", Sequence: e.sequence}
}

func (e *evidence) release(fingerprint string) *clusterpb.CrashReport {
	r := e.crash(fingerprint, "")
	r.Released = true
	return r
}

// step is a request that was in flight at a crash, or that completed.
type step struct {
	at      time.Duration
	request string
	// upstream that crashed; empty for a completed request.
	upstream string
}

func TestVerdicts(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		held  []string
		// off switches off the rule under test; heldOff is the verdict then.
		off     rules
		heldOff []string
	}{
		{name: "one crash is a coincidence", steps: []step{{0, "a", "u1"}}},
		{name: "two crashes", steps: []step{{0, "a", "u1"}, {5 * time.Second, "a", "u2"}}, held: []string{"a"}, heldOff: []string{"a"}},
		{name: "the same crash twice", steps: []step{{0, "a", "u1"}, {time.Second, "a", "u1"}}},
		{
			name:    "completed in between",
			steps:   []step{{0, "a", "u1"}, {time.Second, "a", ""}, {5 * time.Second, "a", "u2"}},
			off:     rules{ignoreReleases: true},
			heldOff: []string{"a"},
		},
		{
			name:    "a bystander at each crash",
			steps:   []step{{0, "a", "u1"}, {0, "b", "u1"}, {9 * time.Second, "a", "u2"}, {9 * time.Second, "c", "u2"}},
			held:    []string{"a"},
			heldOff: []string{"a"},
		},
		{
			name: "a loss of many upstreams",
			steps: []step{
				{0, "a", "u1"}, {0, "b", "u2"}, {0, "c", "u3"}, {0, "d", "u4"}, {time.Second, "a", "u5"},
			},
			off:     rules{blameEveryone: true},
			heldOff: []string{"a"},
		},
		{
			name: "explained by the request with more crashes",
			steps: []step{
				{0, "a", "u1"}, {0, "b", "u1"}, {9 * time.Second, "a", "u2"}, {9 * time.Second, "b", "u2"}, {18 * time.Second, "a", "u3"},
			},
			held:    []string{"a"},
			off:     rules{keepExplained: true},
			heldOff: []string{"a", "b"},
		},
		{
			name: "twice the crashes among many losses",
			steps: []step{
				{0, "a", "u1"}, {0, "b", "u2"}, {9 * time.Second, "a", "u3"}, {9 * time.Second, "c", "u4"},
				{18 * time.Second, "a", "u5"}, {18 * time.Second, "d", "u6"}, {27 * time.Second, "a", "u7"}, {27 * time.Second, "e", "u8"},
			},
			held:    []string{"a"},
			heldOff: []string{"a"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, heldAfter(tt.steps, rules{}), tt.held)
			assert.DeepEqual(t, heldAfter(tt.steps, tt.off), tt.heldOff)
		})
	}
}

// heldAfter returns the requests that are quarantined after the steps.
func heldAfter(steps []step, r rules) []string {
	s, e := New(testLimits), &evidence{}
	s.rules = r
	var now time.Duration
	for _, st := range steps {
		now = st.at
		report := e.crash(st.request, st.upstream)
		report.Released = st.upstream == ""
		s.Merge(now, []*clusterpb.CrashReport{report})
	}
	var held []string
	for _, h := range s.Snapshot().Quarantined(now) {
		held = append(held, h.Request.Fingerprint)
	}
	return held
}

func TestQuarantineEnds(t *testing.T) {
	s, e := New(testLimits), &evidence{}
	r := Request{"lotboard", "a"}
	s.Merge(0, []*clusterpb.CrashReport{e.crash("a", "u1"), e.crash("a", "u2")})
	left, ok := s.Snapshot().Blocked(time.Second, r)
	assert.Assert(t, ok)
	assert.Equal(t, left, 59*time.Second)
	s.Expire(time.Minute)
	assert.Assert(t, !s.Snapshot().Suspect(time.Minute, r))
	assert.Equal(t, s.Hash(), uint64(0))

	s.Merge(time.Minute, []*clusterpb.CrashReport{e.crash("a", "u3"), e.crash("a", "u4")})
	s.Merge(time.Minute, []*clusterpb.CrashReport{e.release("a")})
	assert.Assert(t, !s.Snapshot().Suspect(time.Minute, r))
}
