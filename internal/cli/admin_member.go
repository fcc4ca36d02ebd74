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
		Short: "Add a control replica and wait until it counts towards quorum",
		Long: `Add a control replica as a learner. It counts towards quorum once it has
caught up; the command waits for that up to --wait and may be repeated.`,
		Example: "  balsamcourse admin member add 4 --address 10.0.2.12:7001 --zone jm-south-b --replaces 2",
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			id, err := replicaID(args[0])
			if err != nil {
				return err
			}
			m.ReplicaId = id
			req := &adminpb.AddMemberRequest{Member: m, Replaces: replaces, WaitMs: uint32(a.wait.Milliseconds())}
			return memberCall(cmd.Context(), a, adminpb.Admin.AddMember, req)
		}),
	}
	f := cmd.Flags()
	f.StringVar(&m.Address, "address", "", "cluster address of the replica")
	f.StringVar(&m.Zone, "zone", "", "availability zone of the replica")
	f.Uint64Var(&replaces, "replaces", 0, "id of the replica to remove in its favour")
	return cmd
}

func newMemberRemove(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "remove ID",
		Short:   "Remove a control replica",
		Example: "  balsamcourse admin member remove 2",
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			id, err := replicaID(args[0])
			if err != nil {
				return err
			}
			req := &adminpb.RemoveMemberRequest{ReplicaId: id, WaitMs: uint32(a.wait.Milliseconds())}
			return memberCall(cmd.Context(), a, adminpb.Admin.RemoveMember, req)
		}),
	}
}

func newMemberList(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the control replicas",
		Example: "  balsamcourse admin member list",
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			status, err := a.status(cmd.Context())
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, &adminpb.GetStatusResponse{LeaderId: status.LeaderId, Members: status.Members})
			}
			return a.printMembers(status)
		}),
	}
}

// memberCall changes the membership and prints the members after it.
func memberCall[Req any](ctx context.Context, a *admin, method func(adminpb.Admin, context.Context, *Req) (*adminpb.MemberResponse, error), req *Req) error {
	g, err := a.connect()
	if err != nil {
		return err
	}
	resp, err := call(ctx, g, method, req)
	if err != nil {
		return err
	}
	if err := a.reportMembers(resp); err != nil {
		return err
	}
	if !resp.GetComplete() {
		return fault.New(fault.NotAccepted, "the membership change goes on; repeat the command to wait for it")
	}
	return nil
}

func (a *admin) reportMembers(resp *adminpb.MemberResponse) error {
	if a.output == outputJSON {
		return printMessage(a.out, resp)
	}
	t := newTable(a.out, "ID", "ADDRESS", "ZONE", "ROLE")
	for _, m := range resp.GetMembers() {
		t.row(m.ReplicaId, m.Address, m.Zone, memberRole(m, 0))
	}
	return t.flush()
}

func (a *admin) printMembers(status *adminpb.GetStatusResponse) error {
	t := newTable(a.out, "ID", "ADDRESS", "ZONE", "ROLE", "LIVE", "MATCH")
	for _, m := range status.GetMembers() {
		member := m.GetMember()
		t.row(member.GetReplicaId(), member.GetAddress(), member.GetZone(), memberRole(member, status.GetLeaderId()), m.GetLive(), m.GetMatchIndex())
	}
	return t.flush()
}

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

func replicaID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, usage("%q is not a replica id", text)
	}
	return id, nil
}

func newAdminQuarantine(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "quarantine",
		Short:   "Release requests that were held off",
		Example: "  balsamcourse admin quarantine release booking 5f1c2a90d3b47e66",
	}
	cmd.AddCommand(&cobra.Command{
		Use:     "release SERVICE FINGERPRINT",
		Short:   "Let a quarantined request run again",
		Example: "  balsamcourse admin quarantine release booking 5f1c2a90d3b47e66",
		Args:    cobra.ExactArgs(2),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			g, err := a.connect()
			if err != nil {
				return err
			}
			req := &adminpb.ReleaseQuarantineRequest{Service: args[0], Fingerprint: args[1]}
			if _, err := call(cmd.Context(), g, adminpb.Admin.ReleaseQuarantine, req); err != nil {
				return err
			}
			_, err = fmt.Fprintln(a.out, "released")
			return err
		}),
	})
	return cmd
}
