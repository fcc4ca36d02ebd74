// Package quarantine finds requests that crash the upstreams that run them.
//
// Entry VMs report each request that was in flight on a connection that broke.
// A crash is one incarnation of one upstream. A request that was in flight at
// enough crashes, and has not completed since, is quarantined. Two rules keep
// the innocent out: a crash counts against a request only if the request took
// part in most crashes of the service at about that time, and a crash that a
// quarantined request explains does not count against requests with fewer.
// Neither rule protects a request with twice the number of crashes.
//
// The package is pure. Times are durations on the monotonic clock of the
// caller; reports carry ages, so that clocks need not agree.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// coincidence is how close in time crashes are taken to have one cause.
const coincidence = 2 * time.Second

// Limits configures the evidence that is asked for.
type Limits struct {
	// Threshold is the number of crashes that quarantine a request.
	Threshold int
	// Hold is how long a crash counts.
	Hold time.Duration
	// MaxReports bounds the reports that are kept; the oldest go first.
	MaxReports int
}

// Request identifies a request by what it consists of.
type Request struct {
	Service     string
	Fingerprint string
}

// Crash is the loss of one incarnation of an upstream.
type Crash struct {
	Upstream    string
	Incarnation uint64
}

// Fingerprint identifies requests that are alike: the same method, target,
// length (-1 when unknown) and beginning of the body.
func Fingerprint(method, target string, length int64, prefix []byte) string {
	h := sha256.New()
	field(h, method)
	field(h, target)
	field(h, strconv.FormatInt(length, 10))
	_, _ = h.Write(prefix)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func field(h hash.Hash, s string) {
	_, _ = h.Write([]byte(s))
	_, _ = h.Write([]byte{0})
}

// reportID identifies one report.
type reportID struct {
	entry    string
	sequence uint64
}

// report is one piece of evidence.
type report struct {
	request  Request
	crash    Crash
	at       time.Duration
	released bool
}

// rules switches single rules off, to show that the proofs notice.
type rules struct {
	blameEveryone  bool
	keepExplained  bool
	ignoreReleases bool
	countReports   bool
}

// Detector is the evidence that one entry VM holds. It is not safe for concurrent
// use.
type Detector struct {
	limits  Limits
	reports map[reportID]report
	hash    uint64
	// verdicts is replaced, not changed, when the evidence changes.
	verdicts Snapshot
	rules    rules
}

// New returns a State without evidence.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, reports: make(map[reportID]report)}
}

// Merge takes in reports and returns those that were new.
func (s *Detector) Merge(now time.Duration, reports []*clusterpb.CrashReport) []*clusterpb.CrashReport {
	var fresh []*clusterpb.CrashReport
	for _, r := range reports {
		if s.add(now, r) {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) > 0 {
		s.bound()
		s.judge(now)
	}
	return fresh
}

func (s *Detector) add(now time.Duration, w *clusterpb.CrashReport) bool {
	id := reportID{w.Entry, w.Sequence}
	at := now - time.Duration(w.AgeMs)*time.Millisecond
	if _, ok := s.reports[id]; ok || now-at >= s.limits.Hold {
		return false
	}
	s.reports[id] = report{
		request:  Request{w.Service, w.Fingerprint},
		crash:    Crash{w.Upstream, w.Incarnation},
		at:       at,
		released: w.Released,
	}
	s.hash ^= id.hash()
	return true
}

// Snapshot returns what the evidence says at present.
func (s *Detector) Snapshot() Snapshot { return s.verdicts }

// Expire forgets evidence that no longer counts.
func (s *Detector) Expire(now time.Duration) {
	gone := false
	for id, r := range s.reports {
		if now-r.at >= s.limits.Hold {
			s.remove(id)
			gone = true
		}
	}
	if gone {
		s.judge(now)
	}
}

func (s *Detector) remove(id reportID) {
	delete(s.reports, id)
	s.hash ^= id.hash()
}

// bound removes the oldest reports above the limit.
func (s *Detector) bound() {
	for len(s.reports) > s.limits.MaxReports {
		var oldest reportID
		first := true
		for id, r := range s.reports {
			if first || r.at < s.reports[oldest].at {
				oldest, first = id, false
			}
		}
		s.remove(oldest)
	}
}
