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

// packInterval is the time for which a packed configuration is used.
const packInterval = time.Second

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
	// packed is packedConfig in packed form, made at packedAt.
	packedConfig *catalogpb.Config
	packed       []byte
	packedAt     time.Duration
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
	h.packedConfig, h.packed = nil, nil
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
	return h.deltaLocked(revision, next)
}

func (h *history) deltaLocked(revision uint64, next *catalogpb.Config) *catalogpb.ConfigDelta {
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

// pack returns a configuration in packed form and the delta from it to cfg, which is
// nil if it is cfg itself. After a restart all gateways need the whole
// configuration, and it may change all the while: packing takes several times as
// long as a delta, so that a configuration once packed is used for packInterval.
// It returns an error if cfg cannot be encoded.
func (h *history) pack(now time.Duration, cfg *catalogpb.Config) ([]byte, *catalogpb.ConfigDelta, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.packedConfig == cfg {
		return h.packed, nil, nil
	}
	if h.packedConfig != nil && now < h.packedAt+packInterval && h.packedConfig.Revision < cfg.Revision {
		if d := h.deltaLocked(h.packedConfig.Revision, cfg); d != nil {
			return h.packed, d, nil
		}
	}
	packed, err := catalog.PackConfig(cfg)
	if err != nil {
		return nil, nil, err
	}
	h.packedConfig, h.packed, h.packedAt = cfg, packed, now
	return packed, nil, nil
}
