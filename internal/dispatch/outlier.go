package dispatch

import (
	"math"
	"slices"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Parameters of the comparison of an upstream with its cell. Service times are
// compared as logarithms, so that a heavy tail does not outweigh the rest.
const (
	// window is the span of the moving mean of one upstream.
	window = 7
	// longWindow is that of the mean which peers are compared with.
	longWindow = 32
	// baseWindow is that of the cell's own mean.
	baseWindow = 64
	// Parameters of the cumulative sum that detects slower service, in
	// standard deviations: what is expected of chance at each sample, the
	// most that one sample adds, and the sum that raises the alarm.
	sumSlack = 0.5
	sumCap   = 3.0
	sumAlarm = 9.0
	// sumCalm is the sum below which a suspicion is dropped.
	sumCalm = 2.0
	// coldRatio is how much longer an upstream in cold start may take.
	coldRatio = 4
	// stragglerRatio is the ratio of service times from which a slow upstream
	// is taken for a straggler rather than for one that has turned cold.
	stragglerRatio = 5
	// initialSpread is the assumed mean deviation of a logarithm, and
	// deviationRatio that of the standard deviation to the mean deviation.
	initialSpread  = 1.0
	deviationRatio = 1.25
	minSpread      = 0.2
	// spreadWindow is the span of the moving mean deviation.
	spreadWindow = 64
	// minPeers is the least number of other upstreams that form a reference.
	minPeers = 2
	// failStreak is the number of failures in a row that make an outlier.
	failStreak = 3
	// failShare is the share of failures that makes an outlier, if that of
	// its peers is below peerFailShare.
	failShare     = 0.5
	peerFailShare = 0.25
	failWindow    = 8
	minFailures   = 4
	// minTime is the service time below which all count alike.
	minTime = 2 * time.Millisecond
	// suspectFor bounds the time for which requests may decide about a
	// suspect upstream.
	suspectFor = time.Second
	// calmSamples is the number of requests that can clear a suspicion.
	calmSamples = 4
)

// stats is a moving mean of logarithms of service times.
type stats struct {
	n    int
	mean float64
	long float64
	// sum accumulates what is beyond chance.
	sum float64
}

func (s *stats) add(x float64, span int) {
	s.n++
	s.mean += (x - s.mean) / float64(min(s.n, span))
	s.long += (x - s.long) / float64(min(s.n, longWindow))
}

// failures tracks the share of failed requests.
type failures struct {
	n      int
	share  float64
	streak int
}

func (f *failures) add(failed bool) {
	f.n++
	x := 0.0
	f.streak++
	if !failed {
		f.streak = 0
	} else {
		x = 1
	}
	f.share += (x - f.share) / float64(min(f.n, failWindow))
}

// logTime returns the logarithm of a service time. Differences below minTime say
// nothing about an upstream.
func logTime(d time.Duration) float64 { return math.Log(float64(max(minTime, d))) }

// observe learns from the end of a request.
func (c *Cell) observe(u *upstream, t *ticket, e Release) {
	elapsed := e.ServiceTime
	if elapsed <= 0 {
		elapsed = c.now - t.granted
	}
	stale := t.inherited || t.granted < u.since
	switch e.Outcome {
	case clusterpb.Outcome_OUTCOME_OK:
		if stale {
			c.base.add(logTime(elapsed), baseWindow)
			return
		}
		c.addSample(u, elapsed)
		u.fails.add(false)
		c.advance(u)
	case clusterpb.Outcome_OUTCOME_SHED:
		c.holdDown(u, t)
		if !stale {
			u.fails.add(true)
			c.fire(u, eventTurnedCold)
		}
	case clusterpb.Outcome_OUTCOME_FAILED, clusterpb.Outcome_OUTCOME_BROKEN, clusterpb.Outcome_OUTCOME_UNREACHABLE:
		c.holdDown(u, t)
		if !stale {
			u.fails.add(true)
		}
	case clusterpb.Outcome_OUTCOME_CANCELLED:
		if !stale && u.stats.n > 0 && logTime(elapsed) > u.stats.mean {
			c.addSample(u, elapsed)
		}
	default:
		return
	}
	c.judge(u, nil)
}

// observeOverdue learns from a ticket that was given up.
func (c *Cell) observeOverdue(u *upstream, t *ticket) {
	if t.granted >= u.since {
		c.addSample(u, c.now-t.granted)
	}
}

func (c *Cell) addSample(u *upstream, d time.Duration) {
	x := logTime(d)
	if ref, ok := c.reference(u); ok {
		u.stats.sum = max(0, u.stats.sum+c.beyondChance(u, x, ref))
		c.spread += (math.Abs(x-ref) - c.spread) / spreadWindow
	}
	u.stats.add(x, window)
	u.sampledAt = c.now
	c.base.add(x, baseWindow)
}

// beyondChance returns how far x is above what chance explains, in standard
// deviations.
func (c *Cell) beyondChance(u *upstream, x, ref float64) float64 {
	if u.state == stateCold {
		ref += math.Log(coldRatio)
	}
	deviation := deviationRatio * max(minSpread, c.spread)
	return min(sumCap, (x-ref)/deviation) - sumSlack
}

// holdDown keeps the slot of a request that failed early closed for as long as
// a served request would have used it, so that failing fast attracts no work.
func (c *Cell) holdDown(u *upstream, t *ticket) {
	until := t.granted + c.typicalService()
	if until > c.now && !c.rules.noHoldDown && len(u.held) < u.slots {
		u.held = append(u.held, until)
	}
}

// runningTimes returns for each upstream how long the requests granted since
// its last cut have been running.
func (c *Cell) runningTimes() map[string][]time.Duration {
	times := make(map[string][]time.Duration, len(c.upstreams))
	for _, t := range c.tickets {
		u := c.upstream(t.upstream)
		if u == nil || t.inherited || t.granted < u.since {
			continue
		}
		times[u.id] = append(times[u.id], c.now-t.granted)
	}
	return times
}

// judge compares an upstream with its cell and moves it through the chart.
func (c *Cell) judge(u *upstream, running []time.Duration) {
	slow, straggler := c.slow(u, running)
	failing := c.failing(u)
	if !slow && !failing {
		if u.state == stateSuspect && c.calm(u) {
			c.fire(u, eventRecovered)
		}
		return
	}
	switch u.state {
	case stateWarm, stateWarming:
		u.judged = true
		if failing || straggler {
			c.fire(u, eventOutlier)
			return
		}
		c.fire(u, eventTurnedCold)
	case stateCold:
		u.judged = true
		c.fire(u, eventOutlier)
	case stateSuspect:
		if c.mayEject() {
			c.fire(u, eventConfirmed)
		}
	}
}

// resolve decides about an upstream that stays suspect for lack of requests: it
// is left to the probes, or tried as a cold one where the cap forbids that.
func (c *Cell) resolve(u *upstream) {
	if u.state != stateSuspect || c.now-u.since < suspectFor || u.inFlight > 0 {
		return
	}
	if c.mayEject() {
		c.fire(u, eventConfirmed)
		return
	}
	c.fire(u, eventRecovered)
}

// slow reports whether the upstream takes longer than its cell by more than
// chance explains, and whether by so much that it is a straggler.
func (c *Cell) slow(u *upstream, running []time.Duration) (slow, straggler bool) {
	ref, ok := c.reference(u)
	if !ok {
		return false, false
	}
	s := u.stats
	for _, d := range running {
		if x := logTime(d); x > ref {
			s.sum += max(0, c.beyondChance(u, x, ref))
			s.add(x, window)
		}
	}
	return s.sum > sumAlarm, s.mean-ref > math.Log(stragglerRatio)
}

// calm reports whether a suspect upstream serves as its peers do.
func (c *Cell) calm(u *upstream) bool {
	return u.stats.n >= calmSamples && u.stats.sum < sumCalm && u.fails.streak == 0
}

// reference returns the median of the peers' service times, or the mean of the
// cell when it has too few.
func (c *Cell) reference(u *upstream) (float64, bool) {
	var buf [16]float64
	peers := buf[:0]
	for _, p := range c.upstreams {
		if p != u && p.stats.n >= calmSamples && (p.state == stateWarm || p.state == stateWarming) {
			peers = append(peers, p.stats.long)
		}
	}
	if len(peers) < minPeers {
		return c.base.mean, c.base.n >= baseWindow/2
	}
	slices.Sort(peers)
	return peers[(len(peers)-1)/2], true
}

// failing reports whether the upstream fails while its peers do not.
func (c *Cell) failing(u *upstream) bool {
	f := u.fails
	if f.streak < failStreak && (f.n < minFailures || f.share < failShare) {
		return false
	}
	peers, sum := 0, 0.0
	for _, p := range c.upstreams {
		if p != u && p.state != stateEjected && p.fails.n > 0 {
			peers++
			sum += p.fails.share
		}
	}
	return peers == 0 || sum/float64(peers) < peerFailShare
}

// mayEject reports whether the cap leaves room for one more ejection.
func (c *Cell) mayEject() bool {
	if c.rules.noEjectCap {
		return true
	}
	ejected := 0
	for _, u := range c.upstreams {
		if u.state == stateEjected {
			ejected++
		}
	}
	return (ejected+1)*1000 <= ejectSharePermille*len(c.upstreams)
}
