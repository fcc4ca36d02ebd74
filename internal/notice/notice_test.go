package notice

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestParsePause(t *testing.T) {
	wall := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	date := func(d time.Duration) string { return wall.Add(d).Format(http.TimeFormat) }
	cases := []struct {
		name    string
		values  []string
		date    string
		pause   time.Duration
		invalid string
	}{
		{"seconds", []string{"3"}, "", 3 * time.Second, ""},
		{"spaces around", []string{" 3 "}, "", 3 * time.Second, ""},
		{"fraction", []string{"0.25"}, "", 250 * time.Millisecond, ""},
		{"zero", []string{"0"}, "", 0, ""},
		{"zero fraction", []string{"0.0"}, "", 0, ""},
		{"date", []string{date(4 * time.Second)}, "", 4 * time.Second, ""},
		{"date after that of the answer", []string{date(time.Minute)}, date(50 * time.Second), 10 * time.Second, ""},
		{"date in RFC 850 format", []string{wall.Add(time.Minute).Format("Monday, 02-Jan-06 15:04:05 GMT")}, "", time.Minute, ""},
		{"date in asctime format", []string{wall.Add(time.Minute).Format(time.ANSIC)}, "", time.Minute, ""},
		{"date that has passed", []string{date(-time.Hour)}, "", 0, ""},
		{"longest of several", []string{"1", "5", "2"}, "", 5 * time.Second, ""},
		{"one of several invalid", []string{"soon", "5"}, "", 5 * time.Second, "soon"},
		{"negative", []string{"-1"}, "", 0, "-1"},
		{"sign", []string{"+1"}, "", 0, "+1"},
		{"exponent", []string{"1e3"}, "", 0, "1e3"},
		{"no digits before the point", []string{".5"}, "", 0, ".5"},
		{"no digits after the point", []string{"5."}, "", 0, "5."},
		{"word", []string{"NaN"}, "", 0, "NaN"},
		{"empty", []string{""}, "", 0, "(empty)"},
		{"unit", []string{"3s"}, "", 0, "3s"},
		{"just allowed", []string{"3600"}, "", MaxPause, ""},
		{"very long", []string{"86400"}, "", MaxPause, "86400"},
		{"beyond all numbers", []string{"999999999999999999999999"}, "", MaxPause, "999999999999999999999999"},
		{"date far ahead", []string{date(48 * time.Hour)}, "", MaxPause, date(48 * time.Hour)},
	}
	for _, tc := range cases {
		h := http.Header{"Retry-After": tc.values}
		if tc.date != "" {
			h.Set("Date", tc.date)
		}
		pause, invalid := ParsePause(h, wall)
		assert.Equal(t, pause, tc.pause, tc.name)
		assert.Equal(t, invalid, tc.invalid, tc.name)
	}
}

// TestProofPauseIsBounded parses any values.
func TestProofPauseIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := http.Header{"Retry-After": rapid.SliceOf(rapid.OneOf(rapid.String(), rapid.StringMatching(`[0-9]{0,400}(\.[0-9]{0,400})?`))).Draw(t, "values")}
		pause, _ := ParsePause(h, time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "wall"), 0))
		assert.Assert(t, pause >= 0 && pause <= MaxPause)
	})
}

func TestParseLeaving(t *testing.T) {
	for _, tc := range []struct {
		values  []string
		leaving bool
		invalid string
	}{
		{nil, false, ""},
		{[]string{"1"}, true, ""},
		{[]string{" 1\t"}, true, ""},
		{[]string{"0"}, false, "0"},
		{[]string{"true"}, false, "true"},
		{[]string{""}, false, "(empty)"},
		{[]string{"0", "1"}, true, "0"},
	} {
		leaving, invalid := ParseLeaving(tc.values)
		assert.Equal(t, leaving, tc.leaving, "%q", tc.values)
		assert.Equal(t, invalid, tc.invalid, "%q", tc.values)
	}
}

func TestLaterStartHasSaidNothing(t *testing.T) {
	n := New()
	assert.Assert(t, n.RecordLeaving(Start{"u1", 1}))
	assert.Assert(t, !n.RecordLeaving(Start{"u1", 1}))
	n.RecordPause(0, Start{"u1", 1}, time.Second)
	assert.Assert(t, n.Find(Start{"u1", 1}).Leaving())
	assert.Assert(t, n.Find(Start{"u1", 2}).Open(0))
}

func TestLatestEndCounts(t *testing.T) {
	n := New()
	u := Start{"u1", 1}
	until, isNew := n.RecordPause(0, u, 5*time.Second)
	assert.Assert(t, isNew)
	assert.Equal(t, until, 5*time.Second)
	until, isNew = n.RecordPause(time.Second, u, time.Second)
	assert.Assert(t, !isNew)
	assert.Equal(t, until, 5*time.Second)
	until, isNew = n.RecordPause(2*time.Second, u, 4*time.Second)
	assert.Assert(t, isNew)
	assert.Equal(t, until, 6*time.Second)
	assert.Assert(t, n.Find(u).Paused(6*time.Second-1))
	assert.Assert(t, !n.Find(u).Paused(6*time.Second))
}

func TestRequestsAfterPauseGrowWithAnswers(t *testing.T) {
	const slots = 4
	n := New()
	n.RecordPause(0, Start{"u1", 1}, time.Second)
	s := n.Find(Start{"u1", 1})
	s.RecordAnswer(0, slots) // Answer to a request that was sent before the pause.
	assert.Assert(t, !s.AdmitsRequest(0, 0))
	for most := 1; most <= slots; most++ {
		assert.Assert(t, s.AdmitsRequest(time.Second, most-1))
		assert.Assert(t, !s.AdmitsRequest(time.Second, most))
		s.BeginProbe()
		assert.Assert(t, !s.AdmitsProbe(time.Second, most-1))
		s.EndProbe()
		assert.Assert(t, s.AdmitsProbe(time.Second, most-1))
		s.RecordAnswer(time.Second, slots)
	}
	assert.Assert(t, s.AdmitsRequest(time.Second, 100))
	assert.Assert(t, !s.Resuming(time.Second))
}

func TestAbsentStartsAreForgottenAfterRetention(t *testing.T) {
	n := New()
	u := Start{"u1", 1}
	n.RecordLeaving(u)
	absent := func(Start) bool { return false }
	present := func(Start) bool { return true }
	n.Retain(0, absent)
	n.Retain(retention-1, absent)
	assert.Assert(t, n.Find(u).Leaving())
	n.Retain(retention, present)
	n.Retain(retention+1, absent)
	n.Retain(2*retention, absent)
	assert.Assert(t, n.Find(u).Leaving())
	n.Retain(2*retention+1, absent)
	assert.Assert(t, !n.Find(u).Leaving())
}
