package control

import (
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
)

// historySize is the number of configurations that deltas can start from. Each
// announcement is one; 150 upstreams that are replaced together make several
// hundred within the second in which a gateway on a small VM asks again, and a
// whole configuration is 75 kB for 358 upstreams. A kept one takes a few
// kilobytes: configurations share their items.
const historySize = 1024

// history keeps recent configurations and the deltas from them to the newest.
type history struct {
	configs []*catalogpb.Config
	deltas  map[uint64]*catalogpb.ConfigDelta
}

// add makes cfg the newest configuration.
func (h *history) add(cfg *catalogpb.Config) {
	h.configs = append(h.configs, cfg)
	if len(h.configs) > historySize {
		h.configs[0] = nil
		h.configs = h.configs[1:]
	}
	h.deltas = make(map[uint64]*catalogpb.ConfigDelta)
}

// delta returns the delta from revision to the newest configuration, or nil
// when the revision is not kept.
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
