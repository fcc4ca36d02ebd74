package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// steadyIssuer returns the issuer of upstreamID at an entry VM that is alone, and
// a time at which it issues permits. Its leases last for the rest of the test.
func steadyIssuer() (*Issuer, time.Duration) {
	i := NewIssuer("g")
	i.SetLive(0, []string{"g"})
	i.RecordLease(0, time.Hour)
	return i, TakeoverDelay
}

func TestPermitsFollowTheRate(t *testing.T) {
	for _, perSecond := range []float64{0.25, 1, 3, 200} {
		i, now := steadyIssuer()
		assert.Assert(t, !i.Take(now, key, perSecond, 1).Granted, "an issuer starts without units")
		issued := 0
		const duration = 40 * time.Second
		for end := now + duration; now < end; now += time.Millisecond {
			if i.Take(now, key, perSecond, 1).Granted {
				issued++
			}
		}
		most := perSecond * duration.Seconds()
		assert.Assert(t, float64(issued) <= most && float64(issued) >= 0.9*most-1, "%d issued at %v/s", issued, perSecond)
	}
}

func TestUnusedUnitsAreSavedUpBriefly(t *testing.T) {
	i, now := steadyIssuer()
	take := func(perSecond float64) (n int) {
		for i.Take(now, key, perSecond, 1).Granted {
			n++
		}
		return n
	}
	take(40)
	now += time.Minute
	assert.Equal(t, take(40), 10)
	now += time.Minute
	assert.Equal(t, take(1), MaxUnits, "one permit of the largest size")
}

// The wait of a refusal is the time after which the same request is granted.
func TestRefusalSaysWhenAPermitIsAvailable(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 30} {
		i, now := steadyIssuer()
		i.Take(now, key, perSecond, 2)
		for range 5 {
			refused := i.Take(now, key, perSecond, 2)
			assert.Assert(t, !refused.Granted && refused.Wait > 0)
			assert.Assert(t, !i.Take(now+refused.Wait*9/10, key, perSecond, 2).Granted)
			now += refused.Wait + time.Millisecond
			assert.Assert(t, i.Take(now, key, perSecond, 2).Granted)
		}
	}
	i, now := steadyIssuer()
	refused := i.Take(now, key, 0, 1)
	assert.Assert(t, !refused.Granted)
	assert.Equal(t, refused.Wait, minCheckInterval)
}

func TestLowerLimitAppliesAtOnce(t *testing.T) {
	i, now := steadyIssuer()
	i.Take(now, key, 40, 1)
	now += time.Second
	assert.Assert(t, i.Take(now, key, 40, 1).Granted)
	granted := 0
	for range 20 {
		if i.Take(now, key, 1, 1).Granted {
			granted++
		}
	}
	assert.Assert(t, granted <= MaxUnits, "%d units of the old limit are left", granted)
}

// Nobody sends to an upstream with a limit of 0, and seldom to others; a probe
// must still find out that the limit has ended, within the rate.
func TestSilentUpstreamsAreCheckedWithinTheRate(t *testing.T) {
	for _, tc := range []struct {
		perSecond float64
		want      int
	}{{0, 24}, {0.05, 3}, {0.2, 12}, {10, 24}} {
		i, now := steadyIssuer()
		i.Take(now, key, tc.perSecond, 1)
		heard, checks := now, 0
		for end := now + 2*time.Minute + time.Second; now < end; now += 100 * time.Millisecond {
			i.Take(now, key, 0, MaxUnits)
			if i.TakeCheck(now, upstreamID, tc.perSecond, heard) {
				checks++
			}
		}
		assert.Equal(t, checks, tc.want, "%v/s", tc.perSecond)
	}
	i, now := steadyIssuer()
	i.Take(now, key, 10, 1)
	assert.Assert(t, !i.TakeCheck(now+minCheckInterval, upstreamID, 10, now+time.Second), "it has just answered")
	i.SetLeaving()
	assert.Assert(t, !i.TakeCheck(now+time.Minute, upstreamID, 10, now))
}

// Entry VMs agree on the issuer as long as they see the same ones live, and
// only the issuer issues.
func TestOnlyTheWinnerIssues(t *testing.T) {
	ids := []string{"g1", "g2", "g3"}
	for _, upstream := range []string{"u1", "u2", "u3", "u4"} {
		issuing := 0
		for _, id := range ids {
			i := NewIssuer(id)
			i.SetLive(0, ids)
			i.RecordLease(0, time.Hour)
			wait, ok := i.Issues(time.Second, upstream)
			assert.Assert(t, !ok, "before the takeover delay")
			mine := i.IssuerOf(upstream) == id
			assert.Equal(t, wait > 0, mine)
			_, ok = i.Issues(TakeoverDelay, upstream)
			assert.Equal(t, ok, mine)
			if ok {
				issuing++
			}
		}
		assert.Equal(t, issuing, 1)
	}
}

func TestEntryVMOutsideTheViewDoesNotIssue(t *testing.T) {
	i := NewIssuer("g")
	i.RecordLease(0, time.Hour)
	_, ok := i.Issues(time.Minute, upstreamID)
	assert.Assert(t, !ok)
	assert.Equal(t, i.IssuerOf(upstreamID), "")
	i.SetLive(time.Minute, []string{"g"})
	wait, ok := i.Issues(time.Minute, upstreamID)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, TakeoverDelay)
}

func TestCountsAreReportedOnceAndUnusedStateIsDropped(t *testing.T) {
	i, now := steadyIssuer()
	i.Take(now, key, 1, 1)
	now += time.Second
	i.Take(now, key, 1, 1)
	counts := i.TakeCounts(now)
	assert.Equal(t, len(counts), 1)
	assert.Equal(t, counts[0], Counts{Key: key, Issued: 1, Refused: 1})
	assert.Equal(t, len(i.TakeCounts(now)), 0)
	assert.Equal(t, len(i.LimitedUpstreams()), 1)
	i.TakeCounts(now + 2*unusedBucketTimeout)
	assert.Equal(t, len(i.LimitedUpstreams()), 0)
}
