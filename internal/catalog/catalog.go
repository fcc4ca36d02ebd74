// Package catalog implements the replicated configuration as a deterministic
// state machine: each control VM applies the commands of the control log in the
// same order and arrives at the same configuration.
//
// A configuration is immutable once it is returned. Successive configurations
// share the items that did not change.
package catalog

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// CommandResult is the result of a command that is neither an operator's change
// nor a valid desired state.
type CommandResult struct {
	// Revision is the revision of the configuration after the command.
	Revision uint64
	// Err is the reason why the command was rejected, or nil if it was valid.
	Err *fault.Error
}

// Catalog holds the configuration and the results of operators' changes. It is
// safe for concurrent use.
type Catalog struct {
	config  atomic.Pointer[catalogpb.Config]
	index   atomic.Uint64
	mu      sync.Mutex
	changes *changeHistory
	// source is the text of the current desired state.
	source Source
	// groupFeatures is the set that GroupFeatures returns.
	groupFeatures atomic.Uint64
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{changes: newChangeHistory()}
	c.config.Store(&catalogpb.Config{})
	return c
}

// Config returns the current configuration. The caller must not modify it.
func (c *Catalog) Config() *catalogpb.Config { return c.config.Load() }

// GroupFeatures returns the features that all members of the control group supported when
// all of them had last stated it.
func (c *Catalog) GroupFeatures() features.Set { return features.Set(c.groupFeatures.Load()) }

// Index returns the log index of the last command that was applied.
func (c *Catalog) Index() uint64 { return c.index.Load() }

// Apply executes the encoded command at the given log index. The result is a
// *catalogpb.ChangeResult for an operator's change, unless that is based on an
// outdated state, a *catalogpb.DesiredStateResult for a valid desired state and a
// CommandResult otherwise. Empty data changes nothing.
func (c *Catalog) Apply(index uint64, data []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.apply(index, data)
	c.index.Store(index)
	return result
}

func (c *Catalog) apply(index uint64, data []byte) any {
	if len(data) == 0 {
		return CommandResult{Revision: c.Config().Revision}
	}
	var cmd catalogpb.Command
	if err := proto.Unmarshal(data, &cmd); err != nil {
		return c.reject(fault.New(fault.BadRequest, "cannot decode command of %d bytes", len(data)))
	}
	if change := cmd.GetOperatorChange(); change != nil {
		return c.applyChange(index, change)
	}
	if state := cmd.GetPutState(); state != nil {
		return c.putState(index, state)
	}
	if set := cmd.GetSetGroupFeatures(); set != nil {
		c.groupFeatures.Store(set.Features)
		return CommandResult{Revision: c.Config().Revision}
	}
	next, err := c.run(index, &cmd)
	if err != nil {
		return c.reject(err)
	}
	c.publish(index, next)
	return CommandResult{Revision: c.Config().Revision}
}

func (c *Catalog) reject(err *fault.Error) CommandResult {
	return CommandResult{Revision: c.Config().Revision, Err: err}
}

// publish makes next the current configuration, with the revision index, and
// reports true. If next equals the current configuration it does nothing and
// reports false.
func (c *Catalog) publish(index uint64, next *catalogpb.Config) bool {
	if sameContent(next, c.Config()) {
		return false
	}
	next.Revision = index
	c.config.Store(next)
	return true
}

// commandContext is what the effect of a command depends on beside its content: its index
// in the log, and the features that all members support.
type commandContext struct {
	index    uint64
	features features.Set
}

func runCommand(next *catalogpb.Config, index uint64, cmd *catalogpb.Command) *fault.Error {
	in := commandContext{index: index, features: features.Set(cmd.Features)}
	switch kind := cmd.Kind.(type) {
	case *catalogpb.Command_RegisterEntry:
		return registerEntry(next, index, kind.RegisterEntry)
	case *catalogpb.Command_RegisterEntries:
		return registerEntries(next, index, kind.RegisterEntries)
	case *catalogpb.Command_RemoveEntry:
		return removeEntry(next, index, kind.RemoveEntry)
	case *catalogpb.Command_AssignCells:
		return assignCells(next, index, kind.AssignCells)
	case *catalogpb.Command_SetClaimEpoch:
		return setClaimEpoch(next, kind.SetClaimEpoch)
	case *catalogpb.Command_PutUpstream:
		return putUpstream(next, in, kind.PutUpstream)
	case *catalogpb.Command_DropUpstream:
		return dropUpstream(next, in, kind.DropUpstream)
	case *catalogpb.Command_SetZoneOut:
		return setZoneOut(next, index, kind.SetZoneOut)
	case *catalogpb.Command_StartRollout:
		return startRollout(next, index, kind.StartRollout)
	case *catalogpb.Command_AdvanceRollout:
		return advanceRollout(next, index, kind.AdvanceRollout)
	case *catalogpb.Command_SetPoolSoftware:
		return setPoolSoftware(next, kind.SetPoolSoftware)
	case *catalogpb.Command_UpdateConvictions:
		updateConvictions(next, kind.UpdateConvictions)
		return nil
	}
	return fault.New(fault.BadRequest, "command has no known kind")
}

// shallowCopy returns a copy of cfg that shares its slices and items. To change
// the copy, replace a slice; never modify a shared one in place.
func shallowCopy(cfg *catalogpb.Config) *catalogpb.Config {
	return &catalogpb.Config{
		Revision:         cfg.Revision,
		OperatorRevision: cfg.OperatorRevision,
		Services:         cfg.Services,
		Zones:            cfg.Zones,
		Rules:            cfg.Rules,
		Entries:          cfg.Entries,
		Cells:            cfg.Cells,
		ClaimEpoch:       cfg.ClaimEpoch,
		SetRevision:      cfg.SetRevision,
		PreviousSet:      cfg.PreviousSet,
		StateVersion:     cfg.StateVersion,
		Routes:           cfg.Routes,
		Pools:            cfg.Pools,
		CallerLimits:     cfg.CallerLimits,
		Upstreams:        cfg.Upstreams,
		Organisations:    cfg.Organisations,
		Rollouts:         cfg.Rollouts,
		PoolSoftware:     cfg.PoolSoftware,
		Convictions:      cfg.Convictions,
	}
}

// Snapshot returns the encoded catalog, including the results of operators'
// changes and the text of the desired state.
func (c *Catalog) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	snap := &catalogpb.Snapshot{
		Config:       c.Config(),
		Changes:      slices.Clone(c.changes.records),
		AppliedIndex: c.Index(),
		Forgotten:    c.changes.highestExpiredIDs(),
		StateSource:  c.source.plain,

		PackedStateSource: c.source.compressed,
		GroupFeatures:     c.groupFeatures.Load(),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snap)
	return data, errors.Annotate(err, "encode catalog snapshot")
}

// Restore replaces the catalog's content with that of an encoded snapshot. If
// the snapshot cannot be decoded, it returns an error and changes nothing.
func (c *Catalog) Restore(data []byte) error {
	var snap catalogpb.Snapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return errors.Annotate(err, "decode catalog snapshot")
	}
	cfg := snap.Config
	if cfg == nil {
		cfg = &catalogpb.Config{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = restoreChangeHistory(snap.Changes, snap.Forgotten)
	c.source = Source{plain: snap.StateSource, compressed: snap.PackedStateSource}
	c.config.Store(cfg)
	c.groupFeatures.Store(snap.GroupFeatures)
	c.index.Store(snap.AppliedIndex)
	return nil
}
