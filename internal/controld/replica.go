package controld

import (
	"context"
	"strconv"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/replica"
)

// replicaView shows a replica.Node as control.Replica and control.Membership.
type replicaView struct {
	node *replica.Node
}

// Propose implements control.Replica.
func (r replicaView) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	return r.node.Propose(ctx, data)
}

// ConfirmedRead implements control.Replica.
func (r replicaView) ConfirmedRead(ctx context.Context) (uint64, error) {
	return r.node.ConfirmedRead(ctx)
}

// AddMember implements control.Membership.
func (r replicaView) AddMember(ctx context.Context, m *catalogpb.ControlMember, replaces uint64) (bool, error) {
	return r.node.AddMember(ctx, m, replaces)
}

// RemoveMember implements control.Membership.
func (r replicaView) RemoveMember(ctx context.Context, id uint64) error {
	return r.node.RemoveMember(ctx, id)
}

// Status implements control.Replica.
func (r replicaView) Status() control.Status {
	st := r.node.Status()
	out := control.Status{
		ReplicaID:     st.ID,
		LeaderID:      st.Leader,
		LeaderAddress: st.LeaderAddress,
		IsLeader:      st.IsLeader,
		Term:          st.Term,
		CommitIndex:   st.Commit,
		LeaderSince:   st.LeaderSince,
		LastQuorum:    st.LastQuorum,
	}
	for _, m := range st.Members {
		out.Members = append(out.Members, control.Member{Member: m.ControlMember, MatchIndex: m.Match, Live: m.Live})
	}
	return out
}

func formatID(id uint64) string { return strconv.FormatUint(id, 10) }
