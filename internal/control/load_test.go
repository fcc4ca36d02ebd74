package control

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

func TestSlowLoopIsLoggedOnceAWindow(t *testing.T) {
	var logs bytes.Buffer
	s := New(Options{Log: event.NewLogger(&logs, zerolog.InfoLevel, "control", "1")})
	l := newLoop(t.Context(), s, nil)
	l.load.record(slowLoopWait-1, time.Millisecond)
	l.load.startedAt = s.now() - loadWindow
	l.logLoad()
	assert.Equal(t, logs.String(), "")
	l.load.record(slowLoopWait, time.Millisecond)
	l.logLoad()
	assert.Equal(t, logs.String(), "")
	l.load.startedAt = s.now() - loadWindow
	l.logLoad()
	l.logLoad()
	assert.Equal(t, strings.Count(logs.String(), `"loop_slow"`), 1)
	assert.Assert(t, strings.Contains(logs.String(), `"max_wait_ms":200`), logs.String())
}

func TestUnackedStateNamesLiveGatewaysOnly(t *testing.T) {
	const published = 10 * time.Second
	now := published + unackedStateAfter
	tm := newTerm(1, 0, &catalogpb.Config{Revision: 1})
	tm.reports = map[string]*entryReport{
		"acked":     {revision: 5, receivedAt: now},
		"silent":    {revision: 4, receivedAt: now - freshness.LiveTimeout - 1},
		"not-sent":  {revision: 4, receivedAt: now, configSentAt: published - 1},
		"not-heard": {revision: 4, receivedAt: published - 1, configSentAt: published},
	}
	got := tm.unacked(now, statePublication{version: 2, revision: 5, at: published})
	assert.DeepEqual(t, got.ids, []string{"not-heard", "not-sent"})
	assert.Equal(t, got.notSent, 1)
	assert.Equal(t, got.notHeard, 1)
}
