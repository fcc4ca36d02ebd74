// Package quarantine detects requests that crash the upstreams that execute
// them.
//
// Entry VMs report each request that was in flight on a connection that broke.
// A crash is the end of one incarnation of one upstream. A request that was in
// flight during a crash, and has not completed since, is suspect: of the requests
// with its fingerprint only one attempt at a time may be in flight, over all entry
// VMs, with a growing pause after each one that crashes an upstream. Such an
// attempt is a trial. The first completion ends the suspicion. A request is
// quarantined when enough trials in a row have crashed an upstream, without the trial of
// another request there, and the last of these crashes is isolated: no other upstream
// of the service has crashed at about the same time, but with requests in flight that
// have crashed several in their own trials. Nothing else than the request explains that, while the
// crashes before the suspicion count for nothing more, however many they are. Entry VMs
// also report the crashes of upstreams at which they had no request in flight, while
// that matters.
//
// A request that crashes upstreams may come in variants, for example from several
// callers. So crashes count by several fingerprints: that of exactly the request,
// and general ones that it shares with its variants. A general fingerprint is
// quarantined only if more than one variant was in flight during the crashes;
// otherwise that variant alone is the likely cause.
//
// The package does no I/O and has no clock. Times are readings of the caller's
// monotonic clock; reports carry ages, so that clocks of different VMs need not
// agree.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"slices"
	"strconv"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Limits are the parameters of the detection.
type Limits struct {
	// Threshold is the number of crashes after which a request is quarantined, at
	// least 2: all but the first must be those of trials.
	Threshold int
	// Hold is how long a crash counts.
	Hold time.Duration
	// MaxReports is the maximum number of reports kept; the oldest are removed
	// first.
	MaxReports int
}

// Request identifies equal requests of a service, or all variants of a request.
type Request struct {
	Service     string
	Fingerprint string
}

// Signature identifies a request of a service and the groups of variants that it
// belongs to.
type Signature struct {
	Service string
	// Exact is the fingerprint of exactly this request.
	Exact string
	// General holds the fingerprints that the request shares with its variants; each
	// covers more requests than the one before.
	General []string
}

// requests returns the request of each fingerprint, Exact first if there is one.
func (s Signature) requests() []Request {
	requests := make([]Request, 0, 1+len(s.General))
	if s.Exact != "" {
		requests = append(requests, Request{s.Service, s.Exact})
	}
	for _, f := range s.General {
		requests = append(requests, Request{s.Service, f})
	}
	return requests
}

// Crash identifies a crash by the upstream and the incarnation that ended.
type Crash struct {
	Upstream    string
	Incarnation uint64
}

// Fingerprint returns a hash of a request's method, target, length (-1 when
// unknown) and the first bytes of its body. Requests with the same fingerprint
// are treated as equal.
func Fingerprint(method, target string, length int64, prefix []byte) string {
	h := sha256.New()
	writeField(h, method)
	writeField(h, target)
	writeField(h, strconv.FormatInt(length, 10))
	_, _ = h.Write(prefix)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// writeField writes s and a separator.
func writeField(h hash.Hash, s string) {
	_, _ = h.Write([]byte(s))
	_, _ = h.Write([]byte{0})
}

// reportID identifies a report by the entry VM that made it and its number
// there.
type reportID struct {
	entry    string
	sequence uint64
}

// report records that a request was in flight during a crash or, if released is
// set, that it completed or was released by an operator.
type report struct {
	signature Signature
	crash     Crash
	at        time.Duration
	released  bool
	// trial is set if the request was sent as a trial.
	trial bool
}

// disabledRules disables individual rules, to show that the tests detect their
// absence.
type disabledRules struct {
	isolation     bool
	trials        bool
	single        bool
	release       bool
	deduplication bool
	variants      bool
}

// Detector holds the crash reports known to one entry VM. The time to add a
// report or to decide on a request grows with the reports that concern the
// request and its crashes, not with all reports. A Detector is not safe for
// concurrent use.
type Detector struct {
	limits  Limits
	reports map[reportID]report
	// byAge holds the ids of all reports, oldest first.
	byAge []agedReport
	// byHash holds the IDs of all reports by their hashes.
	byHash map[uint64]reportID
	// hash is the XOR of the hashes of all report IDs.
	hash  uint64
	index index
	// convictions holds those of the configuration.
	convictions map[Request]recorded
	disabled    disabledRules
}

// agedReport is a report ID with the time of the report.
type agedReport struct {
	id reportID
	at time.Duration
}

// New returns a Detector without reports.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, reports: make(map[reportID]report), byHash: make(map[uint64]reportID), index: newIndex()}
}

// Merge adds reports and returns those that were new and not expired.
func (d *Detector) Merge(now time.Duration, reports []*clusterpb.CrashReport) []*clusterpb.CrashReport {
	var added []*clusterpb.CrashReport
	for _, r := range reports {
		if d.add(now, r) {
			added = append(added, r)
		}
	}
	for len(d.reports) > d.limits.MaxReports {
		d.removeOldest()
	}
	return added
}

// add adds a report and reports whether it was new and not expired.
func (d *Detector) add(now time.Duration, pb *clusterpb.CrashReport) bool {
	id := reportID{pb.Entry, pb.Sequence}
	at := now - time.Duration(pb.AgeMs)*time.Millisecond
	if _, ok := d.reports[id]; ok || now-at >= d.limits.Hold {
		return false
	}
	r := report{
		signature: SignatureOf(pb),
		crash:     Crash{pb.Upstream, pb.Incarnation},
		at:        at,
		released:  pb.Released,
		trial:     pb.Trial,
	}
	d.reports[id] = r
	i, _ := slices.BinarySearchFunc(d.byAge, at, func(a agedReport, at time.Duration) int { return cmp.Compare(a.at, at) })
	d.byAge = slices.Insert(d.byAge, i, agedReport{id, at})
	d.index.add(d.crashOf(id, r), r)
	h := id.hash()
	d.byHash[h] = id
	d.hash ^= h
	return true
}

// SignatureOf returns the signature of the request that a report is about.
func SignatureOf(pb *clusterpb.CrashReport) Signature {
	return Signature{Service: pb.Service, Exact: pb.Fingerprint, General: pb.GeneralFingerprints}
}

// crashOf returns the crash that a report is about. Several entry VMs may
// report the same crash.
func (d *Detector) crashOf(id reportID, r report) Crash {
	if d.disabled.deduplication {
		return Crash{id.entry + r.crash.Upstream, r.crash.Incarnation}
	}
	return r.crash
}

// Expire removes the reports whose age has reached Limits.Hold.
func (d *Detector) Expire(now time.Duration) {
	for len(d.byAge) > 0 && now-d.byAge[0].at >= d.limits.Hold {
		d.removeOldest()
	}
}

func (d *Detector) removeOldest() {
	id := d.byAge[0].id
	r := d.reports[id]
	d.byAge = d.byAge[1:]
	delete(d.reports, id)
	d.index.remove(d.crashOf(id, r), r)
	h := id.hash()
	delete(d.byHash, h)
	d.hash ^= h
}
