package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/assign"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
)

const (
	// liveTimeout is the silence after which an entry VM loses its cells.
	liveTimeout = 2500 * time.Millisecond
	// claimTimeout is the silence after which it keeps no claims any more.
	claimTimeout = 30 * time.Second
	// settleTime is the pause after a registration before cells are planned,
	// so that entry VMs that start together are planned together.
	settleTime = 300 * time.Millisecond
	// planInterval is the pace of plans.
	planInterval = 250 * time.Millisecond
	// proposeTimeout bounds a proposal of the loop, and the read that opens a term.
	proposeTimeout = 3 * time.Second
)

// planInputs is what a plan of cells depends on.
type planInputs struct {
	config    *catalogpb.Config
	available []assign.Entry
}

// proposed says that a proposal of the loop has ended.
type proposed struct {
	term uint64
}

// plan makes the next proposal that is needed, one at a time.
func (l *loop) plan() {
	t := l.term
	if t.proposing {
		return
	}
	now := l.server.now()
	if cmd := l.registration(); cmd != nil {
		t.lastRegistered = now
		l.propose(cmd)
		return
	}
	if now < t.nextPlan || now < t.lastRegistered+settleTime {
		return
	}
	t.nextPlan = now + planInterval
	if cmd := t.cellPlan(now); cmd != nil {
		l.server.opts.Log.Log(event.CellAssigned).Uint64("cells", uint64(len(cmd.GetAssignCells().Cells))).Send()
		l.propose(cmd)
		return
	}
	if cmd := t.claimPlan(now); cmd != nil {
		l.propose(cmd)
	}
}

// registration returns the command that registers entry VMs as they report
// themselves. The set of entry VMs changes only once its last change is accepted
// in the regions that it concerned, by one at a time: those that confirm a
// configuration to each other do so by majorities of the set. Gateways confirm
// nothing; where there are only gateways all are registered at once.
func (l *loop) registration() *catalogpb.Command {
	t := l.term
	news := l.unregistered()
	if len(news) > 0 && onlyGateways(t.config.Entries) && onlyGateways(news) {
		reg := &catalogpb.RegisterEntries{Entries: news, SetRevision: t.config.SetRevision}
		return &catalogpb.Command{Kind: &catalogpb.Command_RegisterEntries{RegisterEntries: reg}}
	}
	for _, e := range news {
		old := t.registered(e.Id)
		changesSet := old == nil || keyOf(old) != keyOf(e)
		if changesSet && !t.tracker.SetOpen() {
			continue
		}
		reg := &catalogpb.RegisterEntry{Entry: e, SetRevision: t.config.SetRevision}
		return &catalogpb.Command{Kind: &catalogpb.Command_RegisterEntry{RegisterEntry: reg}}
	}
	return nil
}

// unregistered returns the entry VMs heard of late that are not registered as
// they report themselves.
func (l *loop) unregistered() []*catalogpb.Entry {
	var list []*catalogpb.Entry
	for _, id := range sortedIDs(l.term.heard) {
		if h := l.term.heard[id]; l.server.now() <= h.at+liveTimeout && l.stale(h.entry) {
			list = append(list, h.entry)
		}
	}
	return list
}

func onlyGateways(list []*catalogpb.Entry) bool {
	return !slices.ContainsFunc(list, func(e *catalogpb.Entry) bool { return !e.ServesStale })
}

func sortedIDs(m map[string]*heard) []string {
	ids := make([]string, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// silence returns the time since the entry VM was heard. At the start of a
// term all count as heard then.
func (t *term) silence(now time.Duration, id string) time.Duration {
	last := t.since
	if h := t.heard[id]; h != nil {
		last = max(last, h.at)
	}
	return now - last
}

// silent returns the ids of the registered entry VMs that were not heard of
// late.
func (t *term) silent(now time.Duration) []string {
	var ids []string
	for _, e := range t.config.Entries {
		if t.silence(now, e.Id) > liveTimeout {
			ids = append(ids, e.Id)
		}
	}
	return ids
}

// available returns the registered entry VMs that were heard within timeout.
func (t *term) available(now, timeout time.Duration, leaving bool) []assign.Entry {
	var list []assign.Entry
	for _, e := range t.config.Entries {
		if t.silence(now, e.Id) > timeout || (e.Leaving && !leaving) {
			continue
		}
		list = append(list, assign.Entry{ID: e.Id, Zone: e.Zone, Region: e.Region, Incarnation: e.Incarnation})
	}
	return list
}

// cellPlan returns the command that moves cells, or nil. A plan that moved
// nothing is not made again over the same inputs.
func (t *term) cellPlan(now time.Duration) *catalogpb.Command {
	available := t.available(now, liveTimeout, false)
	if t.planned.config == t.config && slices.Equal(t.planned.available, available) {
		return nil
	}
	moved := assign.Cells(t.config, available)
	if len(moved) == 0 {
		t.planned = planInputs{t.config, available}
		return nil
	}
	cells := &catalogpb.AssignCells{Cells: moved}
	return &catalogpb.Command{Kind: &catalogpb.Command_AssignCells{AssignCells: cells}}
}

// claimPlan returns the command that changes the members for claims, or nil.
// Claims are of use for services only; pools have none.
func (t *term) claimPlan(now time.Duration) *catalogpb.Command {
	if len(t.config.Services) == 0 {
		return nil
	}
	members := assign.ClaimMembers(t.available(now, claimTimeout, false))
	if slices.Equal(members, t.config.ClaimEpoch.GetMembers()) {
		return nil
	}
	set := &catalogpb.SetClaimEpoch{ClaimEpoch: &catalogpb.ClaimEpoch{Members: members}}
	return &catalogpb.Command{Kind: &catalogpb.Command_SetClaimEpoch{SetClaimEpoch: set}}
}

// propose runs a proposal beside the loop.
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
		// A failed proposal is made again from the state that then holds.
		_, _, _ = l.server.opts.Replica.Propose(ctx, data)
		l.server.post(l.ctx, &proposed{term: number})
	})
}

func (l *loop) onProposed(ev *proposed) {
	if l.term == nil || l.term.number != ev.term {
		return
	}
	l.term.proposing = false
	l.onChanged()
	l.plan()
}
