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

// Completions remembers when requests have recently completed at this entry VM, by
// their fingerprints. Crashes before that do not count here. Completions is not safe
// for concurrent use.
type Completions struct {
	// current holds the completions by the hashes of the fingerprints since
	// startedAt, previous those of the period before.
	current, previous map[uint64]completion
	startedAt         time.Duration
}

// completion is the last completion of the requests with one fingerprint.
type completion struct {
	at time.Duration
	// crashed is set if an upstream has crashed here since, with one of them in
	// flight.
	crashed bool
}

// Record remembers the fingerprints of a request that has completed.
func (c *Completions) Record(now time.Duration, sig Signature) {
	c.advance(now)
	for _, r := range sig.requests() {
		c.current[completionHash(r)] = completion{at: now}
	}
}

// RecordCrash notes a crash during which a request was in flight.
func (c *Completions) RecordCrash(sig Signature) {
	for _, r := range sig.requests() {
		h := completionHash(r)
		for _, m := range []map[uint64]completion{c.current, c.previous} {
			if done, ok := m[h]; ok {
				done.crashed = true
				m[h] = done
			}
		}
	}
}

// Uncompleted returns the general fingerprints of the signature that have not
// completed recently, or with which an upstream has crashed since. The crash of a
// request with one of the others probably has a cause that the fingerprint does not
// cover: a fault of the upstream, or a part of the request that it leaves out.
func (c *Completions) Uncompleted(now time.Duration, sig Signature) []string {
	for i, f := range sig.General {
		if done, ok := c.find(now, Request{sig.Service, f}); ok && !done.crashed {
			return sig.General[:i]
		}
	}
	return sig.General
}

// find returns the last completion with the fingerprint, if it is recent.
func (c *Completions) find(now time.Duration, r Request) (completion, bool) {
	c.advance(now)
	h := completionHash(r)
	if done, ok := c.current[h]; ok {
		return done, true
	}
	done, ok := c.previous[h]
	return done, ok
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
	c.current = make(map[uint64]completion)
	c.startedAt = now
}

func completionHash(r Request) uint64 {
	return xxhash.Sum64String(r.Service + "\x00" + r.Fingerprint)
}
