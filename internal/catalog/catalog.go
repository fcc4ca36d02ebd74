// Package catalog is the replicated configuration: a deterministic state
// machine that turns the commands of the control log into configurations.
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
)

// CommandResult is the result of a command that is not an operator's change.
type CommandResult struct {
	// Revision is that of the configuration after the command.
	Revision uint64
	// Err says why the command changed nothing; nil when it was valid.
	Err *fault.Error
}

// Catalog holds the configuration and the results of operators' changes. It is
// safe for concurrent use.
type Catalog struct {
	config  atomic.Pointer[catalogpb.Config]
	index   atomic.Uint64
	mu      sync.Mutex
	changes *changeLog
	// source is the text of the desired state in force.
	source Source
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{changes: newChangeLog()}
	c.config.Store(&catalogpb.Config{})
	return c
}

// Config returns the current configuration, which must not be changed.
func (c *Catalog) Config() *catalogpb.Config { return c.config.Load() }

// Index returns the log index of the last command that was applied.
func (c *Catalog) Index() uint64 { return c.index.Load() }

// Apply executes the encoded command at the given log index. The result is a
// *catalogpb.ChangeResult for an operator's change, a
// *catalogpb.DesiredStateResult for a valid desired state and an Applied
// otherwise.
// Empty data changes nothing.
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
		return c.refuse(fault.New(fault.BadRequest, "undecodable command"))
	}
	if change := cmd.GetOperatorChange(); change != nil {
		return c.applyChange(index, change)
	}
	if state := cmd.GetPutState(); state != nil {
		return c.putState(index, state)
	}
	next := draft(c.Config())
	if err := runCommand(next, index, &cmd); err != nil {
		return c.refuse(err)
	}
	c.publish(index, next)
	return CommandResult{Revision: c.Config().Revision}
}

func (c *Catalog) refuse(err *fault.Error) CommandResult {
	return CommandResult{Revision: c.Config().Revision, Err: err}
}

// publish makes next the current configuration unless it equals the present
// one, and reports whether it did.
func (c *Catalog) publish(index uint64, next *catalogpb.Config) bool {
	if proto.Equal(next, c.Config()) {
		return false
	}
	next.Revision = index
	c.config.Store(next)
	return true
}

func runCommand(next *catalogpb.Config, index uint64, cmd *catalogpb.Command) *fault.Error {
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
		return putUpstream(next, kind.PutUpstream)
	case *catalogpb.Command_DropUpstream:
		return dropUpstream(next, kind.DropUpstream)
	case *catalogpb.Command_SetZoneOut:
		return setZoneOut(next, kind.SetZoneOut)
	}
	return fault.New(fault.BadRequest, "empty command")
}

// draft returns a configuration that shares the items of cfg. Slices are
// replaced, never changed in place.
func draft(cfg *catalogpb.Config) *catalogpb.Config {
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
	}
}

// Snapshot returns the encoded state.
func (c *Catalog) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	snap := &catalogpb.Snapshot{
		Config:       c.Config(),
		Changes:      slices.Clone(c.changes.order),
		AppliedIndex: c.Index(),
		Forgotten:    c.changes.forgottenIDs(),
		StateSource:  c.source.plain,

		PackedStateSource: c.source.packed,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snap)
	return data, errors.Annotate(err, "encode catalog")
}

// Restore replaces the state by an encoded one. On error the state is kept.
func (c *Catalog) Restore(data []byte) error {
	var snap catalogpb.Snapshot
	if err := proto.Unmarshal(data, &snap); err != nil {
		return errors.Annotate(err, "decode catalog")
	}
	cfg := snap.Config
	if cfg == nil {
		cfg = &catalogpb.Config{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = restoreChangeLog(snap.Changes, snap.Forgotten)
	c.source = Source{plain: snap.StateSource, packed: snap.PackedStateSource}
	c.config.Store(cfg)
	c.index.Store(snap.AppliedIndex)
	return nil
}
