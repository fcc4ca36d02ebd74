package control

import (
	"context"
	"fmt"
	"strings"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// supportQuery asks the event loop which registered gateways do not support features.
type supportQuery struct {
	want  features.Set
	reply chan gatewaySupport
}

// gatewaySupport lists the registered gateways that have not stated in this term that
// they support some features.
type gatewaySupport struct {
	isLeader bool
	without  []string
}

// supports returns nil if all members of the control group have stated that they support
// the features, and if includeGateways is set, all registered gateways as well. The
// error names those that have not; it is of kind fault.UnsupportedYet, or
// fault.NotLeader if this control VM does not lead.
func (s *Server) supports(ctx context.Context, want features.Set, includeGateways bool) error {
	if err := s.memberSupport(want); err != nil {
		return err
	}
	if !includeGateways {
		return nil
	}
	q := &supportQuery{want: want, reply: make(chan gatewaySupport, 1)}
	gateways, ok := query(ctx, s, q, q.reply)
	if !ok || !gateways.isLeader {
		return fault.New(fault.NotLeader, "the leader has not confirmed its leadership yet; try again")
	}
	if len(gateways.without) > 0 {
		return fault.New(fault.UnsupportedYet, "not supported by gateways %s", shortList(gateways.without))
	}
	return nil
}

// memberSupport is supports for the control group alone.
func (s *Server) memberSupport(want features.Set) error {
	st := s.opts.Replica.Status()
	if !st.IsLeader {
		return fault.New(fault.NotLeader, "this control VM does not know what the others support")
	}
	var without []string
	for _, m := range st.Members {
		if !m.Features.Has(want) {
			without = append(without, fmt.Sprintf("%d (%s)", m.Member.GetReplicaId(), m.Member.GetAddress()))
		}
	}
	if len(without) > 0 {
		return fault.New(fault.UnsupportedYet, "not supported by control replicas %s", shortList(without))
	}
	return nil
}

// shortList names the first maxLoggedIDs of the ids and the number of the others.
func shortList(ids []string) string {
	text := strings.Join(ids[:min(len(ids), maxLoggedIDs)], ", ")
	if more := len(ids) - maxLoggedIDs; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}

// gatewaySupport returns the registered gateways without the features. One that has not
// renewed in this term has not stated anything to this leader.
func (l *loop) gatewaySupport(want features.Set) gatewaySupport {
	if l.term == nil {
		return gatewaySupport{}
	}
	l.onConfigChanged()
	result := gatewaySupport{isLeader: true}
	for _, e := range l.term.config.Entries {
		report := l.term.reports[e.Id]
		if e.ServesStale && (report == nil || entryKey(report.entry) != entryKey(e) || !report.features.Has(want)) {
			result.without = append(result.without, e.Id)
		}
	}
	return result
}
