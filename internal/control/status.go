package control

import (
	"context"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
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
	entries          []*adminpb.EntryStatus
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
	for _, e := range t.config.Entries {
		es := &adminpb.EntryStatus{Id: e.Id, Zone: e.Zone, Incarnation: e.Incarnation}
		es.LastHeardMs = uint64(t.timeSinceReport(now, e.Id).Milliseconds())
		if report := t.reports[e.Id]; report != nil {
			es.Revision = report.revision
			es.Live = now-report.receivedAt <= freshness.LiveTimeout
		}
		status.entries = append(status.entries, es)
	}
	return status
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
	}
	for _, m := range st.Members {
		resp.Members = append(resp.Members, &adminpb.MemberStatus{Member: m.Member, MatchIndex: m.MatchIndex, Live: m.Live})
	}
	q := &entryStatusQuery{reply: make(chan entryStatusReply, 1)}
	entries, ok := query(ctx, s, q, q.reply)
	resp.AcceptedRevision = entries.acceptedRevision
	resp.Entries = entries.entries
	return resp, ok && entries.isLeader
}
