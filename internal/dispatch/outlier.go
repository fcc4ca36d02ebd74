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
	// window is the effective number of samples of a moving mean.
	window = 7
	// baseWindow is that of the cell's own mean.
	baseWindow = 64
	// deviations is the number of standard errors that make an outlier.
	deviations = 4
	// minRatio is the least ratio of service times that makes an outlier, and
	// coldRatio that of an upstream in cold start.
	minRatio  = 4
	coldRatio = 8
	// initialSpread is the assumed mean deviation of a logarithm.
	initialSpread = 1.0
	// spreadWindow is the effective number of samples of the spread.
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
	// calmSamples is the number of ordinary requests that clear a suspicion.
	calmSamples = 2
)

// stats is a moving mean of logarithms of service times.
type stats struct {
	n    int
	mean float64
}

func (s *stats) add(x float64, span int) {
	s.n++
	s.mean += (x - s.mean) / float64(min(s.n, span))
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

func logTime(d time.Duration) float64 { return math.Log(max(1, float64(d))) }

// observe learns from the end of a request.
func (c *Cell) observe(u *upstream, t *ticket, e Release) {
	elapsed := e.ServiceTime
	if elapsed <= 0 {
		elapsed = c.now - t.granted
	}
	stale := t.inherited || t.granted < u.since
	switch e.Outcome {
	case clusterpb.Outcome_OUTCOME_OK:
		c.observeTime(elapsed)
		if stale {
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

// observeTime updates the typical service time of the cell.
func (c *Cell) observeTime(d time.Duration) {
	if c.serviceNs == 0 {
		c.serviceNs = float64(d)
	}
	c.serviceNs += (float64(d) - c.serviceNs) / baseWindow
}

func (c *Cell) addSample(u *upstream, d time.Duration) {
	x := logTime(d)
	if u.stats.n >= window {
		c.spread += (math.Abs(x-u.stats.mean) - c.spread) / spreadWindow
	}
	u.stats.add(x, window)
	c.base.add(x, baseWindow)
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
	slow, calm := c.slow(u, running)
	failing := c.failing(u)
	if !slow && !failing {
		if u.state == stateSuspect && calm && u.fails.streak == 0 {
			c.fire(u, eventRecovered)
		}
		return
	}
	switch u.state {
	case stateWarm, stateWarming:
		u.judged = true
		if slow && u.limit > c.coldLimit(u) {
			c.fire(u, eventTurnedCold)
			return
		}
		c.fire(u, eventOutlier)
	case stateCold:
		u.judged = true
		c.fire(u, eventOutlier)
	case stateSuspect:
		if c.mayEject() {
			c.fire(u, eventConfirmed)
		}
	}
}

// slow reports whether the upstream takes longer than its cell by more than
// chance explains, and whether it is clearly back to normal.
func (c *Cell) slow(u *upstream, running []time.Duration) (slow, calm bool) {
	s := u.stats
	ref, ok := c.reference(u)
	if !ok {
		return false, s.n >= calmSamples
	}
	for _, d := range running {
		if x := logTime(d); x > ref && x > s.mean {
			s.add(x, window)
		}
	}
	if s.n == 0 {
		return false, false
	}
	ratio := float64(minRatio)
	if u.state == stateCold {
		ratio = coldRatio
	}
	n := float64(min(s.n, window))
	threshold := max(math.Log(ratio), deviations*c.spread/math.Sqrt(n))
	excess := s.mean - ref
	return excess > threshold, u.stats.n >= calmSamples && excess < threshold/2
}

// reference returns the median of the peers' service times, or the mean of the
// cell when it has too few.
func (c *Cell) reference(u *upstream) (float64, bool) {
	var buf [16]float64
	peers := buf[:0]
	for _, p := range c.upstreams {
		if p != u && p.stats.n >= calmSamples && p.state != stateEjected {
			peers = append(peers, p.stats.mean)
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
