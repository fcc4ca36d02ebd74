package control

import (
	"fmt"
	"slices"
	"strings"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// supports returns nil if all members of the control group have stated that they support
// the features, and if includeGateways is set, all registered gateways as well. The
// error names those that have not; it is of kind fault.UnsupportedYet, or
// fault.NotLeader if this control VM does not lead.
func (s *Server) supports(want features.Set, includeGateways bool) error {
	if err := s.memberSupport(want); err != nil || !includeGateways {
		return err
	}
	// What a gateway supports is part of its registration, so that one that is down for
	// a while or has not renewed since the leader changed counts as it was.
	var without []string
	for _, e := range s.catalog.Config().Entries {
		if e.ServesStale && !features.Set(e.Features).Has(want) {
			without = append(without, e.Id)
		}
	}
	if len(without) > 0 {
		return fault.New(fault.UnsupportedYet, "not supported by gateways %s", shortList(without))
	}
	return nil
}

// memberSupport is supports for the control group alone.
func (s *Server) memberSupport(want features.Set) error {
	st := s.opts.Replica.Status()
	if !st.IsLeader {
		return fault.New(fault.NotLeader, "this control VM does not know what the others support")
	}
	return s.membersWithout(st.Members, want)
}

// memberFeatures returns what a member supports. One that has stated nothing since this
// process started, such as a VM that is suspended, counts as it did when all members had
// last stated what they support.
func (s *Server) memberFeatures(m Member) features.Set {
	if m.StatedFeatures {
		return m.Features
	}
	return s.catalog.GroupFeatures()
}

// leaderSupport is supports for the leader alone, at a control VM that forwards an order
// to it.
func (s *Server) leaderSupport(want features.Set) error {
	st := s.opts.Replica.Status()
	if st.LeaderAddress == "" {
		return fault.New(fault.NotLeader, "no leader is known")
	}
	leader := slices.DeleteFunc(slices.Clone(st.Members), func(m Member) bool { return m.Member.GetAddress() != st.LeaderAddress })
	return s.membersWithout(leader, want)
}

// membersWithout returns an error that names the members that have not stated that they
// support the features, or nil.
func (s *Server) membersWithout(members []Member, want features.Set) error {
	var without []string
	for _, m := range members {
		if !s.memberFeatures(m).Has(want) {
			without = append(without, fmt.Sprintf("%d (%s)", m.Member.GetReplicaId(), m.Member.GetAddress()))
		}
	}
	if len(without) > 0 {
		return fault.New(fault.UnsupportedYet, "not supported by control replicas %s", shortList(without))
	}
	return nil
}

// commonFeatures returns the features that all members of the control group have stated
// that they support. It is empty if this control VM does not lead.
func (s *Server) commonFeatures() features.Set {
	st := s.opts.Replica.Status()
	if !st.IsLeader || len(st.Members) == 0 {
		return 0
	}
	common := features.Supported
	for _, m := range st.Members {
		common &= s.memberFeatures(m)
	}
	return common
}

// groupFeaturesCommand returns the command that records what all members support, nil if
// one of them has not stated it or it is recorded. Builds that do not know the command
// reject it, which changes nothing that they know.
func (s *Server) groupFeaturesCommand() *catalogpb.Command {
	st := s.opts.Replica.Status()
	common := features.Supported
	for _, m := range st.Members {
		if !m.StatedFeatures {
			return nil
		}
		common &= m.Features
	}
	if len(st.Members) == 0 || common == s.catalog.GroupFeatures() {
		return nil
	}
	set := &catalogpb.SetGroupFeatures{Features: uint64(common)}
	return &catalogpb.Command{Kind: &catalogpb.Command_SetGroupFeatures{SetGroupFeatures: set}}
}

// shortList names the first maxLoggedIDs of the ids and the number of the others.
func shortList(ids []string) string {
	text := strings.Join(ids[:min(len(ids), maxLoggedIDs)], ", ")
	if more := len(ids) - maxLoggedIDs; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}
