package controlvm

import (
	"context"
	"strconv"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/features"
	"balsamcourse.example/balsamcourse/internal/replica"
)

// replicaAdapter implements control.Replica and control.Membership with a
// replica.Node.
type replicaAdapter struct {
	node  *replica.Node
	peers *replica.TwirpTransport
}

// Propose implements control.Replica.
func (r replicaAdapter) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	return r.node.Propose(ctx, data)
}

// ConfirmedRead implements control.Replica.
func (r replicaAdapter) ConfirmedRead(ctx context.Context) (uint64, error) {
	return r.node.ConfirmedRead(ctx)
}

// AddMember implements control.Membership.
func (r replicaAdapter) AddMember(ctx context.Context, m *catalogpb.ControlMember, replaces, base uint64) (bool, error) {
	return r.node.AddMember(ctx, m, replaces, base)
}

// RemoveMember implements control.Membership.
func (r replicaAdapter) RemoveMember(ctx context.Context, id, base uint64) error {
	return r.node.RemoveMember(ctx, id, base)
}

// Status implements control.Replica.
func (r replicaAdapter) Status() control.Status {
	st := r.node.Status()
	out := control.Status{
		ReplicaID:     st.ID,
		LeaderID:      st.LeaderID,
		LeaderAddress: st.LeaderAddress,
		IsLeader:      st.IsLeader,
		Term:          st.Term,
		CommitIndex:   st.CommitIndex,
		AppliedIndex:  st.AppliedIndex,
		CaughtUp:      st.CaughtUp,
		LeaderSince:   st.LeaderSince,
		LastQuorum:    st.LastQuorum,
	}
	for _, m := range st.Members {
		supported, stated := features.Supported, true
		if m.GetReplicaId() != st.ID {
			supported, stated = r.peers.Features(m.GetReplicaId())
		}
		out.Members = append(out.Members, control.Member{
			Member: m.ControlMember, MatchIndex: m.MatchIndex, Live: m.Live, Features: supported, StatedFeatures: stated,
		})
	}
	return out
}

func formatID(id uint64) string { return strconv.FormatUint(id, 10) }
