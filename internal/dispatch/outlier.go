package dispatch

import (
	"math"
	"slices"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Parameters for comparing an upstream with the other upstreams of its cell.
// Service times are compared as logarithms, so that a heavy tail does not
// dominate the mean. Windows are numbers of requests.
const (
	// serviceTimeWindow is the window of the moving mean of one upstream.
	serviceTimeWindow = 7
	// peerWindow is the window of the moving mean that peers are compared with.
	peerWindow = 32
	// baselineWindow is the window of the moving mean over the whole cell.
	baselineWindow = 64
	// The constants named cusum are in standard deviations. They are parameters
	// of the cumulative sum (CUSUM) that detects slower service.

	// cusumSlack is subtracted from each sample, as the deviation that is
	// expected by chance.
	cusumSlack = 0.5
	// cusumMaxSample is the maximum of one sample before the subtraction.
	cusumMaxSample = 3.0
	// cusumAlarm is the sum above which an upstream counts as slow.
	cusumAlarm = 9.0
	// cusumClear is the sum below which a suspect upstream may recover.
	cusumClear = 2.0
	// coldServiceTimeRatio is the factor by which service may take longer at an
	// upstream in cold start.
	coldServiceTimeRatio = 4
	// stragglerServiceTimeRatio is the ratio to the reference service time
	// above which a slow upstream becomes suspect as a straggler. Below it, the
	// upstream is assumed to have turned cold.
	stragglerServiceTimeRatio = 5
	// initialDeviation is the mean absolute deviation of logarithmic service
	// times that is assumed before any sample.
	initialDeviation = 1.0
	// stdDevPerMeanDeviation is the ratio of the standard deviation to the mean
	// absolute deviation; it is about 1.25 for a normal distribution.
	stdDevPerMeanDeviation = 1.25
	// minDeviation is the lower bound of the mean absolute deviation.
	minDeviation = 0.2
	// deviationWindow is the window of the moving mean absolute deviation.
	deviationWindow = 64
	// minPeers is the minimum number of other upstreams that form a reference.
	minPeers = 2
	// outlierFailureStreak is the number of consecutive failures from which an
	// upstream counts as failing.
	outlierFailureStreak = 3
	// outlierFailureShare is the share of failures from which an upstream with
	// at least minFailureSamples requests counts as failing.
	outlierFailureShare = 0.5
	minFailureSamples   = 4
	// maxPeerFailureShare is the mean share of failures of the peers from which
	// no upstream counts as failing: the cause then lies elsewhere.
	maxPeerFailureShare = 0.25
	// failureWindow is the window of the moving share of failures.
	failureWindow = 8
	// minServiceTime is the service time below which differences are ignored.
	minServiceTime = 2 * time.Millisecond
	// suspectTimeout is the time after which a suspect upstream without
	// requests in flight is ejected, or tried again if no further ejection is
	// allowed.
	suspectTimeout = time.Second
	// minServiceTimeSamples is the number of service times from which an
	// upstream can recover from suspicion or serve as a reference for its
	// peers.
	minServiceTimeSamples = 4
)

// serviceTimeStats holds moving means of logarithmic service times.
type serviceTimeStats struct {
	count int
	mean  float64
	// longMean is the moving mean over peerWindow.
	longMean float64
	// cusum accumulates the deviations from the reference that exceed chance.
	cusum float64
}

func (s *serviceTimeStats) add(x float64, window int) {
	s.count++
	s.mean += (x - s.mean) / float64(min(s.count, window))
	s.longMean += (x - s.longMean) / float64(min(s.count, peerWindow))
}

// failureStats tracks the moving share of failed requests and the current
// number of consecutive failures.
type failureStats struct {
	count  int
	share  float64
	streak int
}

func (f *failureStats) add(failed bool) {
	f.count++
	x := 0.0
	f.streak++
	if !failed {
		f.streak = 0
	} else {
		x = 1
	}
	f.share += (x - f.share) / float64(min(f.count, failureWindow))
}

// logServiceTime returns the natural logarithm of d in nanoseconds. A shorter
// time than minServiceTime counts as minServiceTime: differences below it say
// nothing about an upstream.
func logServiceTime(d time.Duration) float64 { return math.Log(float64(max(minServiceTime, d))) }

// observeRelease updates the statistics of an upstream with the outcome of a
// request and evaluates the upstream. A request granted before the last limit
// cut, or by an earlier dispatcher, says nothing about the upstream as it is
// now: it leaves the upstream's statistics unchanged, and if it was served, its
// service time counts for the cell only. The time that a cancelled request took
// is only a lower bound of its service time, so it counts only if it exceeds
// the mean of the upstream.
func (c *Cell) observeRelease(u *upstream, t *ticket, e Release) {
	elapsed := e.ServiceTime
	if elapsed <= 0 {
		elapsed = c.now - t.grantedAt
	}
	outdated := t.inherited || t.grantedAt < u.limitCutAt
	switch e.Outcome {
	case clusterpb.Outcome_OUTCOME_OK:
		if outdated {
			c.baseline.add(logServiceTime(elapsed), baselineWindow)
			return
		}
		c.addServiceTime(u, elapsed)
		u.failures.add(false)
		c.countCompleted(u)
	case clusterpb.Outcome_OUTCOME_SHED:
		c.holdDown(u, t)
		if !outdated {
			u.failures.add(true)
			c.applyChartEvent(u, eventTurnedCold)
		}
	case clusterpb.Outcome_OUTCOME_FAILED, clusterpb.Outcome_OUTCOME_BROKEN, clusterpb.Outcome_OUTCOME_UNREACHABLE:
		c.holdDown(u, t)
		if !outdated {
			u.failures.add(true)
		}
	case clusterpb.Outcome_OUTCOME_CANCELLED:
		if !outdated && u.serviceTimes.count > 0 && logServiceTime(elapsed) > u.serviceTimes.mean {
			c.addServiceTime(u, elapsed)
		}
	default:
		return
	}
	c.evaluate(u, nil)
}

// observeExpiry counts the age of an expired ticket as a service time.
func (c *Cell) observeExpiry(u *upstream, t *ticket) {
	if t.grantedAt >= u.limitCutAt {
		c.addServiceTime(u, c.now-t.grantedAt)
	}
}

// addServiceTime adds a service time to the statistics of an upstream and of
// the cell.
func (c *Cell) addServiceTime(u *upstream, d time.Duration) {
	x := logServiceTime(d)
	if ref, ok := c.referenceServiceTime(u); ok {
		u.serviceTimes.cusum = max(0, u.serviceTimes.cusum+c.cusumTerm(u, x, ref))
		c.meanDeviation += (math.Abs(x-ref) - c.meanDeviation) / deviationWindow
	}
	u.serviceTimes.add(x, serviceTimeWindow)
	u.lastSampleAt = c.now
	c.baseline.add(x, baselineWindow)
}

// cusumTerm returns the summand that a logarithmic service time x adds to the
// CUSUM, given the reference ref, in standard deviations.
func (c *Cell) cusumTerm(u *upstream, x, ref float64) float64 {
	if u.state == stateCold {
		ref += math.Log(coldServiceTimeRatio)
	}
	deviation := stdDevPerMeanDeviation * max(minDeviation, c.meanDeviation)
	return min(cusumMaxSample, (x-ref)/deviation) - cusumSlack
}

// holdDown keeps the slot of a failed request closed until a typical request
// would have ended. Otherwise an upstream that fails fast would seem idle and
// attract more requests.
func (c *Cell) holdDown(u *upstream, t *ticket) {
	holdUntil := t.grantedAt + c.typicalServiceTime()
	if holdUntil > c.now && !c.overrides.noHoldDown && len(u.heldUntil) < u.slots {
		u.heldUntil = append(u.heldUntil, holdUntil)
	}
}

// runningTimes returns for each upstream how long the requests granted since
// its last limit cut have been running.
func (c *Cell) runningTimes() map[string][]time.Duration {
	times := make(map[string][]time.Duration, len(c.upstreams))
	for _, t := range c.tickets {
		u := c.upstream(t.upstream)
		if u == nil || t.inherited || t.grantedAt < u.limitCutAt {
			continue
		}
		times[u.id] = append(times[u.id], c.now-t.grantedAt)
	}
	return times
}

// evaluate compares an upstream with its peers and applies the resulting event
// of the upstream chart. runningTimes are the ages of its running requests.
func (c *Cell) evaluate(u *upstream, runningTimes []time.Duration) {
	slow, straggler := c.isSlow(u, runningTimes)
	failing := c.isFailing(u)
	if !slow && !failing {
		if u.state == stateSuspect && c.hasRecovered(u) {
			c.applyChartEvent(u, eventRecovered)
		}
		return
	}
	switch u.state {
	case stateWarm, stateWarming:
		u.hasEvidence = true
		if failing || straggler {
			c.applyChartEvent(u, eventOutlier)
			return
		}
		c.applyChartEvent(u, eventTurnedCold)
	case stateCold:
		u.hasEvidence = true
		c.applyChartEvent(u, eventOutlier)
	case stateSuspect:
		if c.ejectionAllowed() {
			c.applyChartEvent(u, eventConfirmed)
		}
	}
}

// resolveSuspect ejects an upstream that has been suspect for suspectTimeout
// and has no requests in flight to judge it by, so that probes decide. If no
// further ejection is allowed, it is tried again as a cold upstream.
func (c *Cell) resolveSuspect(u *upstream) {
	if u.state != stateSuspect || c.now-u.limitCutAt < suspectTimeout || u.inFlight > 0 {
		return
	}
	if c.ejectionAllowed() {
		c.applyChartEvent(u, eventConfirmed)
		return
	}
	c.applyChartEvent(u, eventRecovered)
}

// isSlow reports whether service at the upstream takes longer than the
// reference by more than chance explains, and whether it takes more than
// stragglerServiceTimeRatio times as long. Running requests count if they
// already exceed the reference.
func (c *Cell) isSlow(u *upstream, runningTimes []time.Duration) (slow, straggler bool) {
	ref, ok := c.referenceServiceTime(u)
	if !ok {
		return false, false
	}
	s := u.serviceTimes
	for _, d := range runningTimes {
		if x := logServiceTime(d); x > ref {
			s.cusum += max(0, c.cusumTerm(u, x, ref))
			s.add(x, serviceTimeWindow)
		}
	}
	return s.cusum > cusumAlarm, s.mean-ref > math.Log(stragglerServiceTimeRatio)
}

// hasRecovered reports whether a suspect upstream has served enough requests as
// well as its peers.
func (c *Cell) hasRecovered(u *upstream) bool {
	return u.serviceTimes.count >= minServiceTimeSamples && u.serviceTimes.cusum < cusumClear && u.failures.streak == 0
}

// referenceServiceTime returns the median of the peers' mean logarithmic
// service times, or the mean of the cell if there are fewer than minPeers
// peers. It reports false while there are too few samples for either.
func (c *Cell) referenceServiceTime(u *upstream) (float64, bool) {
	var buf [16]float64
	peers := buf[:0]
	for _, p := range c.upstreams {
		if p != u && p.serviceTimes.count >= minServiceTimeSamples && (p.state == stateWarm || p.state == stateWarming) {
			peers = append(peers, p.serviceTimes.longMean)
		}
	}
	if len(peers) < minPeers {
		return c.baseline.mean, c.baseline.count >= baselineWindow/2
	}
	slices.Sort(peers)
	return peers[(len(peers)-1)/2], true
}

// isFailing reports whether requests fail at the upstream but not at its peers.
func (c *Cell) isFailing(u *upstream) bool {
	f := u.failures
	if f.streak < outlierFailureStreak && (f.count < minFailureSamples || f.share < outlierFailureShare) {
		return false
	}
	peers, sum := 0, 0.0
	for _, p := range c.upstreams {
		if p != u && p.state != stateEjected && p.failures.count > 0 {
			peers++
			sum += p.failures.share
		}
	}
	return peers == 0 || sum/float64(peers) < maxPeerFailureShare
}

// ejectionAllowed reports whether one more ejection stays within
// maxEjectedPermille.
func (c *Cell) ejectionAllowed() bool {
	if c.overrides.noEjectionCap {
		return true
	}
	ejected := 0
	for _, u := range c.upstreams {
		if u.state == stateEjected {
			ejected++
		}
	}
	return (ejected+1)*1000 <= maxEjectedPermille*len(c.upstreams)
}
