package rollout

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// minPeriod is the shortest period within which the versions are compared: about the
	// time between two reports of a gateway. maxPeriods bounds their number within the
	// duration of a roll-out.
	minPeriod  = time.Second
	maxPeriods = 16
	// maxReportAge bounds the time since its last report for which a gateway is expected
	// to have answers that it has not reported. Gateways report every two seconds at the
	// latest.
	maxReportAge = 2 * time.Second
	// maxUnreported bounds the expected number of unreported requests relative to those
	// reported, so that gateways that stay silent do not hide a bad version.
	maxUnreported = 1
)

// Collector adds up the reports about one roll-out. The figures of a report are
// cumulative, so that the newest one of each start of a gateway counts, and a repeated,
// lost or late one does no harm.
type Collector struct {
	entries map[string]*entryReport
	total   Evidence
	periods []Evidence
	// closed is total at the end of the last period but the current one, closedAt the time
	// of that.
	closed       Evidence
	closedAt     time.Duration
	periodLength time.Duration
}

// entryReport is the newest report of a gateway.
type entryReport struct {
	incarnation uint64
	report      *clusterpb.RolloutEvidence
	evidence    Evidence
	at          time.Duration
}

// NewCollector returns a collector for a roll-out with the given duration.
func NewCollector(now, duration time.Duration) *Collector {
	return &Collector{
		entries: make(map[string]*entryReport), total: make(Evidence), closed: make(Evidence),
		closedAt: now, periodLength: max(minPeriod, duration/maxPeriods),
	}
}

// Record adds a report of a gateway. It reports false if the report is older than one
// that was recorded.
func (c *Collector) Record(now time.Duration, entry string, incarnation uint64, report *clusterpb.RolloutEvidence) bool {
	e := c.entries[entry]
	switch {
	case e == nil || incarnation > e.incarnation:
		// The evidence of an earlier incarnation stays in total.
		e = &entryReport{incarnation: incarnation, evidence: make(Evidence)}
		c.entries[entry] = e
	case incarnation < e.incarnation, report.KnownMs < e.report.KnownMs:
		return false
	}
	evidence := EvidenceOf(report)
	for cell, o := range evidence {
		c.total[cell] = c.total[cell].Add(o).sub(e.evidence[cell])
	}
	// The routes are kept as evidence only.
	e.report = &clusterpb.RolloutEvidence{
		KnownMs: report.KnownMs, Withdrawn: report.Withdrawn, Sent: report.Sent, OldInFlight: report.OldInFlight, AppliedRevision: report.AppliedRevision,
	}
	e.evidence, e.at = evidence, now
	return true
}

// sub returns o - p. Counters never decrease within an incarnation; if they do, the
// difference is 0.
func (o Outcomes) sub(p Outcomes) Outcomes {
	diff := func(a, b uint64) uint64 { return a - min(a, b) }
	return Outcomes{
		Requests:         diff(o.Requests, p.Requests),
		Failures:         diff(o.Failures, p.Failures),
		Malformed:        diff(o.Malformed, p.Malformed),
		Timed:            diff(o.Timed, p.Timed),
		Slow:             diff(o.Slow, p.Slow),
		SlowdownPermille: diff(o.SlowdownPermille, p.SlowdownPermille),
		Loaded:           diff(o.Loaded, p.Loaded),
		LoadedBad:        diff(o.LoadedBad, p.LoadedBad),
	}
}

// Periods returns the evidence by period. The last period is the current one.
func (c *Collector) Periods(now time.Duration) []Evidence {
	if now >= c.closedAt+c.periodLength {
		c.periods = append(c.periods, c.sinceClosed())
		if len(c.periods) > 2*maxPeriods {
			// The roll-out takes much longer than its duration.
			c.periods[1].Add(c.periods[0])
			c.periods = c.periods[1:]
		}
		c.closed, c.closedAt = make(Evidence, len(c.total)), now
		c.closed.Add(c.total)
	}
	return append(c.periods[:len(c.periods):len(c.periods)], c.sinceClosed())
}

func (c *Collector) sinceClosed() Evidence {
	diff := make(Evidence)
	for cell, o := range c.total {
		if d := o.sub(c.closed[cell]); d != (Outcomes{}) {
			diff[cell] = d
		}
	}
	return diff
}

// Unreported returns the expected number of requests to the new version that have not
// been reported, relative to those reported. live is the number of gateways that control
// has heard from recently.
func (c *Collector) Unreported(now, elapsed time.Duration, live int) float64 {
	missing, reported := time.Duration(0), time.Duration(0)
	for _, e := range c.entries {
		reported += time.Duration(e.report.KnownMs) * time.Millisecond
		missing += min(now-e.at, maxReportAge)
	}
	missing += time.Duration(max(live-len(c.entries), 0)) * min(elapsed, maxReportAge)
	if reported <= 0 {
		return maxUnreported
	}
	return min(float64(missing)/float64(reported), maxUnreported)
}

// Known returns the longest time for which a gateway has known of the roll-out, as
// reported, counted up to now.
func (c *Collector) Known(now time.Duration) time.Duration {
	known := time.Duration(0)
	for _, e := range c.entries {
		known = max(known, time.Duration(e.report.KnownMs)*time.Millisecond+now-e.at)
	}
	return known
}

// Report returns the newest report of a gateway, or nil.
func (c *Collector) Report(entry string) *clusterpb.RolloutEvidence {
	if e := c.entries[entry]; e != nil {
		return e.report
	}
	return nil
}

// Reporting returns the number of gateways that have reported.
func (c *Collector) Reporting() int { return len(c.entries) }

// Totals returns the sums over all reports for the old and the new version, and the
// number of gateways that have withdrawn the new version by themselves.
func (c *Collector) Totals() (old, new Outcomes, withdrawn int) {
	for cell, o := range c.total {
		if cell.New {
			new = new.Add(o)
		} else {
			old = old.Add(o)
		}
	}
	for _, e := range c.entries {
		if e.report.Withdrawn {
			withdrawn++
		}
	}
	return old, new, withdrawn
}
