package control

import (
	"cmp"
	"slices"
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

// history retains recent configurations and caches the deltas from them to the
// newest one.
type history struct {
	// configs is ordered by revision.
	configs []publishedConfig
	deltas  map[uint64]*catalogpb.ConfigDelta
}

// publishedConfig is a configuration and the time at which the leader began to
// send it.
type publishedConfig struct {
	*catalogpb.Config
	at time.Duration
}

// add appends cfg as the newest configuration.
func (h *history) add(now time.Duration, cfg *catalogpb.Config) {
	h.configs = append(h.configs, publishedConfig{cfg, now})
	if len(h.configs) > historySize {
		h.configs[0] = publishedConfig{}
		h.configs = h.configs[1:]
	}
	h.deltas = make(map[uint64]*catalogpb.ConfigDelta)
}

// find returns the retained configuration with the given revision.
func (h *history) find(revision uint64) (publishedConfig, bool) {
	i, ok := slices.BinarySearchFunc(h.configs, revision, func(c publishedConfig, r uint64) int { return cmp.Compare(c.Revision, r) })
	if !ok {
		return publishedConfig{}, false
	}
	return h.configs[i], true
}

// delta returns the delta from revision to the newest configuration, or nil if
// that revision is not retained.
func (h *history) delta(revision uint64) *catalogpb.ConfigDelta {
	if d, ok := h.deltas[revision]; ok {
		return d
	}
	base, ok := h.find(revision)
	if !ok {
		return nil
	}
	d := catalog.Delta(base.Config, h.configs[len(h.configs)-1].Config)
	h.deltas[revision] = d
	return d
}
