package control

import (
	"context"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
)

// statusQuery asks the loop for the entry VMs.
type statusQuery struct {
	reply chan entriesStatus
}

// entriesStatus is what the leader knows of entry VMs.
type entriesStatus struct {
	leading  bool
	accepted uint64
	entries  []*adminpb.EntryStatus
}

// setQuery asks the loop for the state of the registered set.
type setQuery struct {
	reply chan setState
}

// setState says which change of the set was last, and whether it is accepted.
type setState struct {
	leading  bool
	revision uint64
	accepted bool
}

func (l *loop) setState() setState {
	if l.term == nil {
		return setState{}
	}
	l.onChanged()
	t := l.term
	return setState{
		leading:  true,
		revision: t.config.SetRevision,
		accepted: t.tracker.SetOpen(),
	}
}

func (l *loop) entryStatus() entriesStatus {
	if l.term == nil {
		return entriesStatus{}
	}
	t := l.term
	now := l.server.now()
	status := entriesStatus{leading: true, accepted: t.tracker.Accepted()}
	for _, e := range t.config.Entries {
		es := &adminpb.EntryStatus{Id: e.Id, Zone: e.Zone, Incarnation: e.Incarnation}
		es.LastHeardMs = uint64(t.silence(now, e.Id).Milliseconds())
		if h := t.heard[e.Id]; h != nil {
			es.Revision = h.revision
			es.Live = now-h.at <= liveTimeout
		}
		status.entries = append(status.entries, es)
	}
	return status
}

// query posts ev and waits for its reply.
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

// status returns the status of this control VM.
func (s *Server) status(ctx context.Context) (*adminpb.GetStatusResponse, bool) {
	st := s.opts.Replica.Status()
	resp := &adminpb.GetStatusResponse{
		ReplicaId:   st.ReplicaID,
		LeaderId:    st.LeaderID,
		Term:        st.Term,
		CommitIndex: st.Commit,
		Revision:    s.catalog.Config().Revision,
	}
	for _, m := range st.Members {
		resp.Members = append(resp.Members, &adminpb.MemberStatus{Member: m.Member, MatchIndex: m.Match, Live: m.Live})
	}
	q := &statusQuery{reply: make(chan entriesStatus, 1)}
	entries, ok := query(ctx, s, q, q.reply)
	resp.AcceptedRevision = entries.accepted
	resp.Entries = entries.entries
	return resp, ok && entries.leading
}
