package control

import (
	"context"
	"time"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/buildinfo"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

// entryStatusQuery asks the event loop for the status of the entry VMs.
type entryStatusQuery struct {
	reply chan entryStatusReply
}

// entryStatusReply is what the leader knows about the entry VMs.
type entryStatusReply struct {
	isLeader         bool
	acceptedRevision uint64
	// unaccepted is the time for which some revision has not been accepted.
	unaccepted time.Duration
	entries    []*adminpb.EntryStatus
}

// entrySetQuery asks the event loop for the state of the registered set.
type entrySetQuery struct {
	reply chan entrySetState
}

// entrySetState contains the revision of the last change to the set of entry
// VMs and whether that change is accepted.
type entrySetState struct {
	isLeader bool
	revision uint64
	accepted bool
}

func (l *loop) entrySetState() entrySetState {
	if l.term == nil {
		return entrySetState{}
	}
	l.onConfigChanged()
	t := l.term
	return entrySetState{
		isLeader: true,
		revision: t.config.SetRevision,
		accepted: t.tracker.CanChangeSet(),
	}
}

func (l *loop) entryStatus() entryStatusReply {
	if l.term == nil {
		return entryStatusReply{}
	}
	t := l.term
	now := l.server.now()
	status := entryStatusReply{isLeader: true, acceptedRevision: t.tracker.Accepted()}
	if status.acceptedRevision < t.config.Revision {
		status.unaccepted = now - t.unacceptedSince
	}
	for _, e := range t.config.Entries {
		status.entries = append(status.entries, t.statusOf(now, e))
	}
	return status
}

// statusOf returns the status of a registered entry VM. Another process under the same
// ID, which reports but is not registered, says nothing of the registered one.
func (t *term) statusOf(now time.Duration, e *catalogpb.Entry) *adminpb.EntryStatus {
	es := &adminpb.EntryStatus{
		Id: e.Id, Zone: e.Zone, Incarnation: e.Incarnation, ClusterAddress: e.ClusterAddress,
		AcknowledgedRevision: t.tracker.Acknowledged(entryKey(e)),
	}
	report := t.reports[e.Id]
	switch {
	case report == nil:
		es.LastHeardMs = uint64(t.timeSinceReport(now, e.Id).Milliseconds())
	case entryKey(report.entry) != entryKey(e):
		es.LastHeardMs = uint64((now - t.leaderSince).Milliseconds())
		es.SupersededBy = report.entry.ClusterAddress
	default:
		es.LastHeardMs = uint64(t.timeSinceReport(now, e.Id).Milliseconds())
		es.Revision, es.Build = report.revision, report.build
		es.Live = now-report.receivedAt <= freshness.LiveTimeout
	}
	return es
}

// query sends ev to the event loop and waits for its reply. It reports false if
// the loop has stopped or ctx ends first.
func query[T any](ctx context.Context, s *Server, ev any, reply chan T) (T, bool) {
	var none T
	if !s.post(ctx, ev) {
		return none, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
	case <-s.done:
	}
	return none, false
}

// status returns the status as known to this control VM, and whether it is the
// confirmed leader.
func (s *Server) status(ctx context.Context) (*adminpb.GetStatusResponse, bool) {
	st := s.opts.Replica.Status()
	resp := &adminpb.GetStatusResponse{
		ReplicaId:   st.ReplicaID,
		LeaderId:    st.LeaderID,
		Term:        st.Term,
		CommitIndex: st.CommitIndex,
		Revision:    s.catalog.Config().Revision,
		Build:       buildinfo.Read().Short(),
	}
	for _, m := range st.Members {
		resp.Members = append(resp.Members, &adminpb.MemberStatus{Member: m.Member, MatchIndex: m.MatchIndex, Live: m.Live})
	}
	q := &entryStatusQuery{reply: make(chan entryStatusReply, 1)}
	entries, ok := query(ctx, s, q, q.reply)
	resp.AcceptedRevision = entries.acceptedRevision
	resp.UnacceptedMs = uint64(entries.unaccepted.Milliseconds())
	resp.Entries = entries.entries
	return resp, ok && entries.isLeader
}
