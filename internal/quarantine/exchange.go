package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// bucketCount is the number of buckets that reports are divided into by the hash
// of their ID. Two entry VMs that differ in few reports compare the IDs in few
// buckets.
const bucketCount = 64

// hash returns the hash of a report ID. The XOR of the hashes of a set of IDs
// identifies the set.
func (id reportID) hash() uint64 {
	return xxhash.Sum64String(id.entry + "\x00" + strconv.FormatUint(id.sequence, 10))
}

func bucketOf(idHash uint64) uint32 { return uint32(idHash % bucketCount) }

// Hash returns a hash of the set of known reports. Equal sets have equal
// hashes.
func (d *Detector) Hash() uint64 { return d.hash }

// BucketHashes returns a hash of the reports in each bucket.
func (d *Detector) BucketHashes() []uint64 {
	hashes := make([]uint64, bucketCount)
	for h := range d.byHash {
		hashes[bucketOf(h)] ^= h
	}
	return hashes
}

// DifferingBuckets returns buckets whose hashes differ from those of another
// entry VM, and the ID hashes of the reports in them. It stops after the bucket
// with which the ID hashes reach maxIDs. It begins with another bucket whenever
// the reports have changed, so that none is left out for long.
func (d *Detector) DifferingBuckets(theirs []uint64, maxIDs int) (buckets []uint32, idHashes []uint64) {
	if len(theirs) != bucketCount {
		return nil, nil
	}
	own := d.BucketHashes()
	byBucket := make([][]uint64, bucketCount)
	for h := range d.byHash {
		byBucket[bucketOf(h)] = append(byBucket[bucketOf(h)], h)
	}
	for i := range uint32(bucketCount) {
		b := (bucketOf(d.hash) + i) % bucketCount
		if own[b] == theirs[b] {
			continue
		}
		buckets = append(buckets, b)
		idHashes = append(idHashes, byBucket[b]...)
		if len(idHashes) >= maxIDs {
			break
		}
	}
	return buckets, idHashes
}

// Compare returns the ID hashes among theirs that are not known, and the known
// reports in the buckets that are not among theirs: at most limit of each, the
// newest reports first.
func (d *Detector) Compare(now time.Duration, buckets []uint32, theirs []uint64, limit int) (unknown []uint64, extra []*clusterpb.CrashReport) {
	has := make(map[uint64]bool, len(theirs))
	for _, h := range theirs {
		has[h] = true
		if _, ok := d.byHash[h]; !ok && len(unknown) < limit {
			unknown = append(unknown, h)
		}
	}
	for _, a := range slices.Backward(d.byAge) {
		if h := a.id.hash(); len(extra) < limit && !has[h] && slices.Contains(buckets, bucketOf(h)) {
			extra = append(extra, d.message(now, a.id))
		}
	}
	return unknown, extra
}

// Reports returns the known reports with the given ID hashes, at most limit.
func (d *Detector) Reports(now time.Duration, idHashes []uint64, limit int) []*clusterpb.CrashReport {
	var out []*clusterpb.CrashReport
	for _, h := range idHashes {
		if id, ok := d.byHash[h]; ok && len(out) < limit {
			out = append(out, d.message(now, id))
		}
	}
	return out
}

// ReportsAbout returns at most limit of the known reports about a request, the
// newest first.
func (d *Detector) ReportsAbout(now time.Duration, r Request, limit int) []*clusterpb.CrashReport {
	if d.index.requests[r] == nil {
		return nil
	}
	var out []*clusterpb.CrashReport
	for _, a := range slices.Backward(d.byAge) {
		if len(out) < limit && slices.Contains(d.reports[a.id].signature.requests(), r) {
			out = append(out, d.message(now, a.id))
		}
	}
	return out
}

func (d *Detector) message(now time.Duration, id reportID) *clusterpb.CrashReport {
	r := d.reports[id]
	return &clusterpb.CrashReport{
		Service:             r.signature.Service,
		Fingerprint:         r.signature.Exact,
		GeneralFingerprints: r.signature.General,
		Upstream:            r.crash.Upstream,
		Incarnation:         r.crash.Incarnation,
		Entry:               id.entry,
		Sequence:            id.sequence,
		AgeMs:               uint32((now - r.at) / time.Millisecond),
		Released:            r.released,
		Trial:               r.trial,
	}
}
