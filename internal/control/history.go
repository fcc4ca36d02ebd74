package control

import (
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
	configs []*catalogpb.Config
	deltas  map[uint64]*catalogpb.ConfigDelta
}

// add appends cfg as the newest configuration.
func (h *history) add(cfg *catalogpb.Config) {
	h.configs = append(h.configs, cfg)
	if len(h.configs) > historySize {
		h.configs[0] = nil
		h.configs = h.configs[1:]
	}
	h.deltas = make(map[uint64]*catalogpb.ConfigDelta)
}

// delta returns the delta from revision to the newest configuration, or nil if
// that revision is not retained.
func (h *history) delta(revision uint64) *catalogpb.ConfigDelta {
	if d, ok := h.deltas[revision]; ok {
		return d
	}
	for _, cfg := range h.configs {
		if cfg.Revision == revision {
			d := catalog.Delta(cfg, h.configs[len(h.configs)-1])
			h.deltas[revision] = d
			return d
		}
	}
	return nil
}
