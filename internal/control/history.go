package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
)

// historySize is the number of configurations from which deltas can be
// computed. Every announcement creates a configuration: replacing 150 upstreams
// together creates several hundred within the second between two renewals of a
// gateway on a small VM. A full configuration is 75 kB for 358 upstreams. A
// retained one takes only a few kilobytes, because configurations share their
// elements.
const historySize = 1024

// history retains the configurations that were applied last on this control VM,
// in any term, and caches the deltas from them to the newest one. It is safe for
// concurrent use.
type history struct {
	mu sync.Mutex
	// configs is ordered by revision.
	configs []appliedConfig
	// target is the configuration that the deltas lead to.
	target *catalogpb.Config
	deltas map[uint64]*catalogpb.ConfigDelta
}

// appliedConfig is a configuration and the time at which it was applied.
type appliedConfig struct {
	*catalogpb.Config
	at time.Duration
}

// add appends cfg, if it is newer than the newest configuration.
func (h *history) add(now time.Duration, cfg *catalogpb.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.configs); n > 0 && h.configs[n-1].Revision >= cfg.Revision {
		return
	}
	h.configs = append(h.configs, appliedConfig{cfg, now})
	if len(h.configs) > historySize {
		h.configs[0] = appliedConfig{}
		h.configs = h.configs[1:]
	}
}

// reset replaces all configurations by cfg.
func (h *history) reset(now time.Duration, cfg *catalogpb.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = []appliedConfig{{cfg, now}}
	h.target, h.deltas = nil, nil
}

// appliedAt returns the time at which a retained revision was applied.
func (h *history) appliedAt(revision uint64) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cfg, ok := h.find(revision)
	return cfg.at, ok
}

// find returns the retained configuration with the given revision. h.mu must be
// held.
func (h *history) find(revision uint64) (appliedConfig, bool) {
	i, ok := slices.BinarySearchFunc(h.configs, revision, func(c appliedConfig, r uint64) int { return cmp.Compare(c.Revision, r) })
	if !ok {
		return appliedConfig{}, false
	}
	return h.configs[i], true
}

// delta returns the delta from a revision to next, or nil if that revision is
// not retained.
func (h *history) delta(revision uint64, next *catalogpb.Config) *catalogpb.ConfigDelta {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.target != next {
		h.target, h.deltas = next, make(map[uint64]*catalogpb.ConfigDelta)
	}
	if d, ok := h.deltas[revision]; ok {
		return d
	}
	base, ok := h.find(revision)
	if !ok {
		return nil
	}
	d := catalog.Delta(base.Config, next)
	h.deltas[revision] = d
	return d
}
