package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOneTrialAtATime(t *testing.T) {
	const key = "service\x00fingerprint"
	i := NewIssuer("g1")
	first, second := Holder{"g1", 1}, Holder{"g2", 1}
	assert.Assert(t, !i.BeginTrial(0, key, first).Granted, "without a lease")
	i.SetLive(0, []string{"g1"})
	i.RecordLease(0, 0)
	assert.Assert(t, i.BeginTrial(0, key, first).Granted)
	refused := i.BeginTrial(time.Millisecond, key, second)
	assert.Equal(t, refused, Decision{Wait: maxTrialWait})
	assert.Assert(t, i.BeginTrial(time.Millisecond, "another", second).Granted)

	// A renewal prolongs it, and only its holder returns it.
	assert.Assert(t, i.BeginTrial(time.Second, key, first).Granted)
	i.EndTrial(key, second)
	i.RecordLease(time.Second, time.Second)
	assert.Equal(t, i.BeginTrial(time.Second+trialDuration-time.Millisecond, key, second), Decision{Wait: time.Millisecond})
	assert.Assert(t, i.BeginTrial(time.Second+trialDuration, key, second).Granted)
	i.EndTrial(key, second)
	assert.Assert(t, i.BeginTrial(time.Second+trialDuration, key, first).Granted)
}

func TestTrialsEndWithTheIssuer(t *testing.T) {
	const key = "service\x00fingerprint"
	newIssuer := func() *Issuer {
		i := NewIssuer("g1")
		i.SetLive(0, []string{"g1"})
		i.RecordLease(0, 0)
		assert.Assert(t, i.BeginTrial(0, key, Holder{"g2", 1}).Granted)
		return i
	}
	lapsed := newIssuer()
	assert.Assert(t, !lapsed.BeginTrial(leaseFor(0), key, Holder{"g2", 1}).Granted)
	leaving := newIssuer()
	leaving.SetLeaving()
	assert.Assert(t, !leaving.BeginTrial(0, key, Holder{"g2", 1}).Granted)
	replaced := newIssuer()
	other := "g1"
	for n := range 100 {
		if winner([]string{"g1", string(rune('a' + n))}, key) != "g1" {
			other = string(rune('a' + n))
			break
		}
	}
	replaced.SetLive(0, []string{"g1", other})
	assert.Assert(t, !replaced.BeginTrial(0, key, Holder{"g2", 1}).Granted)
}

// TestTrialLeaseEndsBeforePermit checks that the holder stops using a permit before the
// issuer gives it to another one.
func TestTrialLeaseEndsBeforePermit(t *testing.T) {
	assert.Assert(t, TrialLease < trialDuration)
}
