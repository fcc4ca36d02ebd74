package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// completionMemory is the time for which a completion is remembered at least,
	// while there are no more than maxCompletions of them.
	completionMemory = 15 * time.Second
	// maxCompletions bounds the completions that are remembered, to about 0.5 MB.
	maxCompletions = 8192
)

// Completions remembers by which fingerprints requests have recently completed.
// Crashes of the other requests with such a general fingerprint must have a cause that
// it does not cover: a fault of the upstreams, or a part of the request that it leaves
// out. Completions is not safe for concurrent use.
type Completions struct {
	// current holds the hashes of the fingerprints that have completed since
	// startedAt, previous those of the period before.
	current, previous map[uint64]struct{}
	startedAt         time.Duration
}

// Record remembers the fingerprints of a request that has completed.
func (c *Completions) Record(now time.Duration, sig Signature) {
	c.advance(now)
	for _, r := range sig.requests() {
		c.current[completionHash(r)] = struct{}{}
	}
}

// Completed reports whether exactly this request has completed recently.
func (c *Completions) Completed(now time.Duration, sig Signature) bool {
	return c.completed(now, Request{sig.Service, sig.Exact})
}

// Uncompleted returns the general fingerprints of the signature that have not
// completed recently. A fingerprint that covers one that has completed has too.
func (c *Completions) Uncompleted(now time.Duration, sig Signature) []string {
	for i, f := range sig.General {
		if c.completed(now, Request{sig.Service, f}) {
			return sig.General[:i]
		}
	}
	return sig.General
}

// completed reports whether a request with the fingerprint has completed recently.
func (c *Completions) completed(now time.Duration, r Request) bool {
	c.advance(now)
	h := completionHash(r)
	if _, ok := c.current[h]; ok {
		return true
	}
	_, ok := c.previous[h]
	return ok
}

// advance starts a new period once the current one is over or full.
func (c *Completions) advance(now time.Duration) {
	if c.current != nil && now-c.startedAt < completionMemory && len(c.current) < maxCompletions/2 {
		return
	}
	c.previous = c.current
	if now-c.startedAt >= 2*completionMemory {
		c.previous = nil
	}
	c.current = make(map[uint64]struct{})
	c.startedAt = now
}

func completionHash(r Request) uint64 {
	return xxhash.Sum64String(r.Service + "\x00" + r.Fingerprint)
}
