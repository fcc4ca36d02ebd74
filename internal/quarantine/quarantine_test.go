package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

var testLimits = Limits{Crashes: 2, Hold: time.Minute, MaxReports: 100}

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

func TestVerdicts(t *testing.T) {
	type step struct {
		at      time.Duration
		request string
		// upstream that crashed; empty for a completed request.
		upstream string
	}
	tests := []struct {
		name  string
		steps []step
		held  []string
	}{
		{"one crash is a coincidence", []step{{0, "a", "u1"}}, nil},
		{"two crashes", []step{{0, "a", "u1"}, {5 * time.Second, "a", "u2"}}, []string{"a"}},
		{"the same crash twice", []step{{0, "a", "u1"}, {time.Second, "a", "u1"}}, nil},
		{"completed in between", []step{{0, "a", "u1"}, {time.Second, "a", ""}, {5 * time.Second, "a", "u2"}}, nil},
		{"a bystander at each crash", []step{
			{0, "a", "u1"}, {0, "b", "u1"}, {9 * time.Second, "a", "u2"}, {9 * time.Second, "c", "u2"},
		}, []string{"a"}},
		{"a loss of many upstreams", []step{
			{0, "a", "u1"}, {0, "b", "u2"}, {0, "c", "u3"}, {0, "d", "u4"}, {time.Second, "a", "u5"},
		}, nil},
		{"explained by the request with more crashes", []step{
			{0, "a", "u1"}, {0, "b", "u1"}, {9 * time.Second, "a", "u2"}, {9 * time.Second, "b", "u2"}, {9 * time.Second, "a", "u3"},
		}, []string{"a"}},
		{"twice the crashes among many losses", []step{
			{0, "a", "u1"}, {0, "b", "u2"}, {9 * time.Second, "a", "u3"}, {9 * time.Second, "c", "u4"},
			{18 * time.Second, "a", "u5"}, {18 * time.Second, "d", "u6"}, {27 * time.Second, "a", "u7"}, {27 * time.Second, "b", "u8"},
		}, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, e := New(testLimits), &evidence{}
			var now time.Duration
			for _, st := range tt.steps {
				now = st.at
				r := e.crash(st.request, st.upstream)
				r.Released = st.upstream == ""
				s.Merge(now, []*clusterpb.CrashReport{r})
			}
			var held []string
			for _, h := range s.Quarantined(now) {
				held = append(held, h.Request.Fingerprint)
			}
			assert.DeepEqual(t, held, tt.held)
		})
	}
}

func TestQuarantineEnds(t *testing.T) {
	s, e := New(testLimits), &evidence{}
	r := Request{"lotboard", "a"}
	s.Merge(0, []*clusterpb.CrashReport{e.crash("a", "u1"), e.crash("a", "u2")})
	left, ok := s.Blocked(time.Second, r)
	assert.Assert(t, ok)
	assert.Equal(t, left, 59*time.Second)
	s.Tick(time.Minute)
	assert.Assert(t, !s.Suspect(time.Minute, r))
	assert.Equal(t, s.Hash(), uint64(0))

	s.Merge(time.Minute, []*clusterpb.CrashReport{e.crash("a", "u3"), e.crash("a", "u4")})
	s.Merge(time.Minute, []*clusterpb.CrashReport{e.release("a")})
	assert.Assert(t, !s.Suspect(time.Minute, r))
}
