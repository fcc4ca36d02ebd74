package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/assign"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

const (
	// claimMemberTimeout is the time without a renewal after which an entry VM
	// no longer stores claims.
	claimMemberTimeout = 30 * time.Second
	// registrationDelay is the time between a registration and the next cell
	// assignment, so that entry VMs that start together get their cells in a
	// single assignment.
	registrationDelay = 300 * time.Millisecond
	// gatewayBatchInterval is the minimum time between two registrations of gateways
	// that start together, unless the later one at least doubles their number. Their
	// first renewals come one after the other, so that each would get a command, and a
	// configuration for all, of its own. A gateway serves before it is registered.
	gatewayBatchInterval = tickInterval
	// planInterval is the minimum time between two checks for cell and claim
	// changes.
	planInterval = 250 * time.Millisecond
	// proposeTimeout limits a proposal of the loop, and the confirmed read at
	// the start of a term.
	proposeTimeout = 3 * time.Second
)

// cellPlanInputs are the inputs of a cell assignment.
type cellPlanInputs struct {
	config    *catalogpb.Config
	available []assign.Entry
}

// proposalDone is the event that a proposal of the loop has ended.
type proposalDone struct {
	term uint64
}

// proposeNext proposes the next command that is needed, unless a proposal is in
// progress. Registrations go first, then features of the group and convictions, then
// cell assignments, then changes of the claim epoch.
func (l *loop) proposeNext() {
	t := l.term
	if t.proposing {
		return
	}
	now := l.server.now()
	if cmd := l.registrationCommand(); cmd != nil {
		if reg := cmd.GetRegisterEntries(); reg != nil && !t.registersNow(now, len(reg.Entries)) {
			// A later tick proposes it, together with the gateways that have come since.
			return
		}
		t.lastRegistered = now
		l.propose(cmd)
		return
	}
	if cmd := l.server.groupFeaturesCommand(); cmd != nil {
		l.propose(cmd)
		return
	}
	if cmd := l.convictionsCommand(); cmd != nil {
		l.propose(cmd)
		return
	}
	if now < t.nextPlan || now < t.lastRegistered+registrationDelay {
		return
	}
	t.nextPlan = now + planInterval
	if cmd := t.assignCellsCommand(now); cmd != nil {
		l.server.opts.Log.Log(event.CellAssigned).Uint64("cells", uint64(len(cmd.GetAssignCells().Cells))).Send()
		l.propose(cmd)
		return
	}
	if cmd := t.claimEpochCommand(now); cmd != nil {
		l.propose(cmd)
	}
}

// registersNow reports whether n gateways are to be registered now, and counts them if
// so. Those registered within registrationDelay of each other have started together.
func (t *term) registersNow(now time.Duration, n int) bool {
	if now >= t.lastRegistered+registrationDelay {
		t.startedTogether = 0
	}
	if n < t.startedTogether && now < t.lastRegistered+gatewayBatchInterval {
		return false
	}
	t.startedTogether += n
	return true
}

// registrationCommand returns the command that registers entry VMs as they
// describe themselves, or nil.
//
// Entry VMs that confirm a configuration to each other do so by majorities of
// the registered set. Therefore that set changes by one entry VM at a time, and
// only after its previous change has been accepted in the regions affected.
// Gateways take no part in confirmation: if there are only gateways, all are
// registered at once.
func (l *loop) registrationCommand() *catalogpb.Command {
	t := l.term
	pending := l.unregisteredEntries()
	if len(pending) > 0 && allGateways(t.config.Entries) && allGateways(pending) {
		reg := &catalogpb.RegisterEntries{Entries: pending, SetRevision: t.config.SetRevision}
		return &catalogpb.Command{Kind: &catalogpb.Command_RegisterEntries{RegisterEntries: reg}}
	}
	for _, e := range pending {
		old := t.registered(e.Id)
		if supersedes(e, old) {
			l.server.opts.Log.Log(event.EntryReplaced).Str("entry", e.Id).Str("address", e.ClusterAddress).Str("before", old.ClusterAddress).
				Uint64("incarnation", e.Incarnation).Send()
			return t.removeEndedCommand(old)
		}
		changesSet := old == nil || entryKey(old) != entryKey(e)
		if changesSet && !t.tracker.CanChangeSet() {
			continue
		}
		reg := &catalogpb.RegisterEntry{Entry: e, SetRevision: t.config.SetRevision}
		return &catalogpb.Command{Kind: &catalogpb.Command_RegisterEntry{RegisterEntry: reg}}
	}
	return nil
}

// supersedes reports whether e has taken the place of a process under the same ID at
// another address. An ID belongs to one process at a time, so that the earlier one has
// ended: it will never confirm a configuration again, and the set must not wait for it.
func supersedes(e, old *catalogpb.Entry) bool {
	return old != nil && e.Incarnation > old.Incarnation && entryKey(old) != entryKey(e)
}

// removeEndedCommand returns the command that removes an entry VM whose process has
// ended from the set, also while an earlier change of the set waits for it.
func (t *term) removeEndedCommand(e *catalogpb.Entry) *catalogpb.Command {
	remove := &catalogpb.RemoveEntry{Id: e.Id, SetRevision: t.config.SetRevision, Ended: true, Pending: !t.tracker.CanChangeSet()}
	return &catalogpb.Command{Kind: &catalogpb.Command_RemoveEntry{RemoveEntry: remove}}
}

// unregisteredEntries returns the live entry VMs that are not registered as
// they describe themselves.
func (l *loop) unregisteredEntries() []*catalogpb.Entry {
	var entries []*catalogpb.Entry
	now := l.server.now()
	for _, report := range l.term.reports {
		if now <= report.receivedAt+freshness.LiveTimeout && l.needsRegistration(report.entry) {
			entries = append(entries, report.entry)
		}
	}
	slices.SortFunc(entries, func(a, b *catalogpb.Entry) int { return cmp.Compare(a.Id, b.Id) })
	return entries
}

// allGateways reports whether all entries are gateways, which have ServesStale
// set.
func allGateways(list []*catalogpb.Entry) bool {
	return !slices.ContainsFunc(list, func(e *catalogpb.Entry) bool { return !e.ServesStale })
}

func sortedIDs(m map[string]*entryReport) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// timeSinceReport returns the time since the last renewal of an entry VM. An
// entry VM that has not renewed in this term counts as having renewed when the
// term began.
func (t *term) timeSinceReport(now time.Duration, id string) time.Duration {
	last := t.leaderSince
	if report := t.reports[id]; report != nil {
		last = max(last, report.receivedAt)
	}
	return now - last
}

// availableEntries returns the registered entry VMs that have renewed within
// timeout. Those that are leaving are included only if includeLeaving is set.
func (t *term) availableEntries(now, timeout time.Duration, includeLeaving bool) []assign.Entry {
	var list []assign.Entry
	for _, e := range t.config.Entries {
		if t.timeSinceReport(now, e.Id) > timeout || (e.Leaving && !includeLeaving) {
			continue
		}
		list = append(list, assign.Entry{ID: e.Id, Zone: e.Zone, Region: e.Region, Incarnation: e.Incarnation})
	}
	return list
}

// assignCellsCommand returns the command that reassigns cells, or nil. If
// nothing has to move, it does not compute the assignment again until its
// inputs change.
func (t *term) assignCellsCommand(now time.Duration) *catalogpb.Command {
	available := t.availableEntries(now, freshness.LiveTimeout, false)
	if t.lastEmptyPlan.config == t.config && slices.Equal(t.lastEmptyPlan.available, available) {
		return nil
	}
	moved := assign.Cells(t.config, available)
	if len(moved) == 0 {
		t.lastEmptyPlan = cellPlanInputs{t.config, available}
		return nil
	}
	cells := &catalogpb.AssignCells{Cells: moved}
	return &catalogpb.Command{Kind: &catalogpb.Command_AssignCells{AssignCells: cells}}
}

// claimEpochCommand returns the command that changes the entry VMs that store
// claims, or nil. Only services use claims; pools do not.
func (t *term) claimEpochCommand(now time.Duration) *catalogpb.Command {
	if len(t.config.Services) == 0 {
		return nil
	}
	members := assign.ClaimMembers(t.availableEntries(now, claimMemberTimeout, false))
	if slices.Equal(members, t.config.ClaimEpoch.GetMembers()) {
		return nil
	}
	set := &catalogpb.SetClaimEpoch{ClaimEpoch: &catalogpb.ClaimEpoch{Members: members}}
	return &catalogpb.Command{Kind: &catalogpb.Command_SetClaimEpoch{SetClaimEpoch: set}}
}

// propose submits a proposal in the background.
func (l *loop) propose(cmd *catalogpb.Command) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return
	}
	l.term.proposing = true
	number := l.term.number
	crash.Go(l.workers, func() {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
		defer cancel()
		// Errors are ignored: the next call of proposeNext proposes again,
		// based on the state at that time.
		_, _, _ = l.server.opts.Replica.Propose(ctx, data)
		l.server.post(l.ctx, &proposalDone{term: number})
	})
}

func (l *loop) onProposalDone(ev *proposalDone) {
	if l.term == nil || l.term.number != ev.term {
		return
	}
	l.term.proposing = false
	l.onConfigChanged()
	l.proposeNext()
}
