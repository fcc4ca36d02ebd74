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
	// configsMu guards configs, which are ordered by revision. It is held briefly
	// only: the goroutine that applies commands, and sends the heartbeats of a
	// leader, waits for it.
	configsMu sync.Mutex
	configs   []appliedConfig

	// mu guards the fields below, while they are computed as well.
	mu sync.Mutex
	// target is the configuration that the deltas lead to. They are kept by the
	// revision that they start from: whole and without the desired state.
	target       *catalogpb.Config
	deltas       map[uint64]*catalogpb.ConfigDelta
	withoutState map[uint64]*catalogpb.ConfigDelta
	// states holds the differences from desired states to that of version
	// stateTarget, by the version that they start from. Many revisions have the
	// same desired state, so that few differences serve all gateways.
	stateTarget uint64
	states      map[uint64]*stateDelta
	// packed is packedConfig in packed form, made at packedAt.
	packedConfig *catalogpb.Config
	packed       []byte
	packedAt     time.Duration
}

// stateDelta is the difference between two desired states.
type stateDelta struct {
	plain *catalogpb.ConfigDelta
	// packed is empty if the difference is sent plain.
	packed []byte
}

// configUpdate is a delta in the form in which it is sent. If packedState is set,
// delta lacks the desired state.
type configUpdate struct {
	delta       *catalogpb.ConfigDelta
	packedState []byte
}

// appliedConfig is a configuration and the time at which it was applied.
type appliedConfig struct {
	*catalogpb.Config
	at time.Duration
}

// add appends cfg, if it is newer than the newest configuration.
func (h *history) add(now time.Duration, cfg *catalogpb.Config) {
	h.configsMu.Lock()
	defer h.configsMu.Unlock()
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
	h.configsMu.Lock()
	h.configs = []appliedConfig{{cfg, now}}
	h.configsMu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.target, h.deltas, h.withoutState = nil, nil, nil
	h.stateTarget, h.states = 0, nil
	h.packedConfig, h.packed = nil, nil
}

// appliedAt returns the time at which a retained revision was applied.
func (h *history) appliedAt(revision uint64) (time.Duration, bool) {
	cfg, ok := h.find(revision)
	return cfg.at, ok
}

// find returns the retained configuration with the given revision.
func (h *history) find(revision uint64) (appliedConfig, bool) {
	h.configsMu.Lock()
	defer h.configsMu.Unlock()
	i, ok := slices.BinarySearchFunc(h.configs, revision, func(c appliedConfig, r uint64) int { return cmp.Compare(c.Revision, r) })
	if !ok {
		return appliedConfig{}, false
	}
	return h.configs[i], true
}

// removedEntry reports whether the entry VM with the given id is not registered in cfg
// and was in a retained configuration.
func (h *history) removedEntry(id string, cfg *catalogpb.Config) bool {
	named := func(e *catalogpb.Entry) bool { return e.Id == id }
	if slices.ContainsFunc(cfg.Entries, named) {
		return false
	}
	h.configsMu.Lock()
	defer h.configsMu.Unlock()
	searched := cfg.Entries
	for _, c := range slices.Backward(h.configs) {
		// Successive configurations mostly share their entries.
		if sameSlice(c.Entries, searched) {
			continue
		}
		searched = c.Entries
		if slices.ContainsFunc(searched, named) {
			return true
		}
	}
	return false
}

// update returns the delta from a revision to next, with the desired state packed
// if that saves bytes and packedState allows it. The delta is nil if that revision
// is not retained.
func (h *history) update(revision uint64, next *catalogpb.Config, packedState bool) configUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.updateLocked(revision, next, packedState)
}

func (h *history) updateLocked(revision uint64, next *catalogpb.Config, packedState bool) configUpdate {
	base, ok := h.find(revision)
	if !ok {
		return configUpdate{}
	}
	if h.target != next {
		h.target, h.deltas, h.withoutState = next, make(map[uint64]*catalogpb.ConfigDelta), make(map[uint64]*catalogpb.ConfigDelta)
	}
	state := h.stateDelta(base.Config, next)
	if packedState && len(state.packed) > 0 {
		d := h.withoutState[revision]
		if d == nil {
			d = catalog.DeltaWithoutState(base.Config, next)
			h.withoutState[revision] = d
		}
		return configUpdate{d, state.packed}
	}
	d := h.deltas[revision]
	if d == nil {
		d = catalog.AddStateDelta(catalog.DeltaWithoutState(base.Config, next), state.plain)
		h.deltas[revision] = d
	}
	return configUpdate{delta: d}
}

// stateDelta returns the difference between the desired states of base and next.
func (h *history) stateDelta(base, next *catalogpb.Config) *stateDelta {
	if h.states == nil || h.stateTarget != next.StateVersion {
		h.stateTarget, h.states = next.StateVersion, make(map[uint64]*stateDelta)
	}
	if s := h.states[base.StateVersion]; s != nil {
		return s
	}
	s := &stateDelta{plain: catalog.StateDelta(base, next)}
	// A difference that cannot be encoded fails the response as well.
	s.packed, _ = catalog.PackStateDelta(s.plain)
	h.states[base.StateVersion] = s
	return s
}

// pack returns a configuration in packed form and the update from it to cfg, which is
// empty if it is cfg itself. After a restart all gateways need the whole
// configuration, and it may change all the while: packing takes several times as
// long as a delta, so that a configuration once packed is used for packInterval.
// It returns an error if cfg cannot be encoded.
func (h *history) pack(now time.Duration, cfg *catalogpb.Config, packedState bool) ([]byte, configUpdate, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.packedConfig == cfg {
		return h.packed, configUpdate{}, nil
	}
	if h.packedConfig != nil && now < h.packedAt+packInterval && h.packedConfig.Revision < cfg.Revision {
		if u := h.updateLocked(h.packedConfig.Revision, cfg, packedState); u.delta != nil {
			return h.packed, u, nil
		}
	}
	packed, err := catalog.PackConfig(cfg)
	if err != nil {
		return nil, configUpdate{}, err
	}
	h.packedConfig, h.packed, h.packedAt = cfg, packed, now
	return packed, configUpdate{}, nil
}
