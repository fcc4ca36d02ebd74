package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

func newAdminMember(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "member",
		Short:   "Add and remove control replicas",
		Example: "  balsamcourse admin member list",
	}
	cmd.AddCommand(newMemberAdd(a), newMemberRemove(a), newMemberList(a))
	return cmd
}

func newMemberAdd(a *admin) *cobra.Command {
	m := &catalogpb.ControlMember{Learner: true}
	var replaces uint64
	cmd := &cobra.Command{
		Use:   "add ID --address HOST:PORT --zone ZONE",
		Short: "Add a control replica and wait until it has caught up",
		Long: `Add a control replica as a learner. When it has caught up, it becomes a voter and
counts towards quorum or, beside an odd number of voters, a standby. The command
waits for this up to --wait and can be repeated.`,
		Example: "  balsamcourse admin member add 4 --address 10.0.2.12:7001 --zone jm-south-b --replaces 2",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			id, err := parseReplicaID(args[0])
			if err != nil {
				return err
			}
			m.ReplicaId = id
			req := &adminpb.AddMemberRequest{Member: m, Replaces: replaces, WaitMs: uint32(a.wait.Milliseconds())}
			return changeMembership(cmd.Context(), a, adminpb.Admin.AddMember, req)
		}),
	}
	f := cmd.Flags()
	f.StringVar(&m.Address, "address", "", "cluster address of the replica")
	f.StringVar(&m.Zone, "zone", "", "availability zone of the replica")
	f.Uint64Var(&replaces, "replaces", 0, "id of the replica that this one replaces and that is removed")
	return cmd
}

func newMemberRemove(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "remove ID",
		Short:   "Remove a control replica",
		Example: "  balsamcourse admin member remove 2",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			id, err := parseReplicaID(args[0])
			if err != nil {
				return err
			}
			req := &adminpb.RemoveMemberRequest{ReplicaId: id, WaitMs: uint32(a.wait.Milliseconds())}
			return changeMembership(cmd.Context(), a, adminpb.Admin.RemoveMember, req)
		}),
	}
}

func newMemberList(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the control replicas",
		Example: "  balsamcourse admin member list",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			status, err := a.fetchStatus(cmd.Context())
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, &adminpb.GetStatusResponse{LeaderId: status.LeaderId, Members: status.Members})
			}
			return a.printMemberStatus(status)
		}),
	}
}

// changeMembership calls method, which changes the membership, and prints the
// resulting members. It returns an error if the change is not complete yet.
func changeMembership[Req any](ctx context.Context, a *admin, method func(adminpb.Admin, context.Context, *Req) (*adminpb.MemberResponse, error), req *Req) error {
	client, err := a.connect()
	if err != nil {
		return err
	}
	resp, err := callWithFailover(ctx, client, method, req)
	if err != nil {
		return err
	}
	if err := a.printMembership(resp); err != nil {
		return err
	}
	if !resp.GetComplete() {
		return fault.New(fault.NotAccepted, "the membership change is still in progress; repeat the command to wait for it")
	}
	return nil
}

func (a *admin) printMembership(resp *adminpb.MemberResponse) error {
	if a.output == outputJSON {
		return printMessage(a.out, resp)
	}
	t := newTable(a.out, "ID", "ADDRESS", "ZONE", "ROLE")
	for _, m := range resp.GetMembers() {
		t.row(m.ReplicaId, m.Address, m.Zone, memberRole(m, 0))
	}
	return t.flush()
}

func (a *admin) printMemberStatus(status *adminpb.GetStatusResponse) error {
	t := newTable(a.out, "ID", "ADDRESS", "ZONE", "ROLE", "LIVE", "MATCH")
	for _, m := range status.GetMembers() {
		member := m.GetMember()
		t.row(member.GetReplicaId(), member.GetAddress(), member.GetZone(), memberRole(member, status.GetLeaderId()), m.GetLive(), m.GetMatchIndex())
	}
	return t.flush()
}

// memberRole returns the role of a member; leader is the id of the leader, 0 if it
// is not known.
func memberRole(m *catalogpb.ControlMember, leader uint64) string {
	switch {
	case m.GetLearner():
		return "learner"
	case leader != 0 && m.GetReplicaId() == leader:
		return "leader"
	default:
		return "voter"
	}
}

func parseReplicaID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, usageError("%q is not a replica id: expected a positive integer", text)
	}
	return id, nil
}

func newAdminQuarantine(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "quarantine",
		Short:   "Release quarantined requests",
		Example: "  balsamcourse admin quarantine release booking 5f1c2a90d3b47e66",
	}
	cmd.AddCommand(&cobra.Command{
		Use:     "release SERVICE FINGERPRINT",
		Short:   "Release a request from quarantine",
		Example: "  balsamcourse admin quarantine release booking 5f1c2a90d3b47e66",
		Args:    cobra.ExactArgs(2),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			client, err := a.connect()
			if err != nil {
				return err
			}
			req := &adminpb.ReleaseQuarantineRequest{Service: args[0], Fingerprint: args[1]}
			if _, err := callWithFailover(cmd.Context(), client, adminpb.Admin.ReleaseQuarantine, req); err != nil {
				return err
			}
			_, err = fmt.Fprintln(a.out, "released")
			return err
		}),
	})
	return cmd
}
