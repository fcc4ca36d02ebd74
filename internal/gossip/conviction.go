package gossip

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/quarantine"
)

const (
	// maxConvictionReports limits the convictions that are reported to control at a time.
	maxConvictionReports = 16
	// convictionReportDelay is the time after which an entry VM reports a conviction to
	// which it has contributed no report. Until then those that have will have done so.
	convictionReportDelay = 5 * time.Second
)

// setConvictions passes the convictions of the configuration on to the detector. The caller
// holds mu.
func (s *Service) setConvictions(list []*catalogpb.Conviction) {
	s.convictions = list
	now, wall := s.now(), time.Now()
	// On a VM whose time of day is wrong, the conviction still holds: the leader removes it.
	local := func(unixMs uint64) time.Duration { return now + time.UnixMilli(int64(unixMs)).Sub(wall) }
	convictions := make([]quarantine.Conviction, len(list))
	for i, c := range list {
		convictions[i] = quarantine.Conviction{
			Request:   quarantine.Request{Service: c.Service, Fingerprint: c.Fingerprint},
			CrashedAt: local(c.CrashedMs),
			Until:     local(c.UntilMs),
		}
	}
	s.detector.SetConvictions(now, convictions)
}

// ConvictionReports returns what control does not know of requests that crash upstreams:
// those that are quarantined and not recorded in the configuration, and those that are
// recorded and were released since.
func (s *Service) ConvictionReports() []*clusterpb.ConvictionReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out []*clusterpb.ConvictionReport
	for _, c := range s.detector.Unrecorded(now) {
		if now-c.CrashedAt < convictionReportDelay && !s.detector.HasReportBy(c.Request, s.origin) {
			continue
		}
		out = append(out, &clusterpb.ConvictionReport{
			Service: c.Request.Service, Fingerprint: c.Request.Fingerprint,
			CrashAgeMs: uint32((now - c.CrashedAt).Milliseconds()), LeftMs: uint32((c.Until - now).Milliseconds()),
		})
	}
	for _, r := range s.detector.Released() {
		if c := catalog.FindConviction(s.convictions, r.Service, r.Fingerprint); c != nil {
			out = append(out, &clusterpb.ConvictionReport{
				Service: r.Service, Fingerprint: r.Fingerprint, Released: true, ReleasedCrashedMs: c.CrashedMs,
			})
		}
	}
	return out[:min(len(out), maxConvictionReports)]
}
