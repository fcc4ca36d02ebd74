package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func (a *admin) fetchConfig(ctx context.Context) (*catalogpb.Config, error) {
	client, err := a.connect()
	if err != nil {
		return nil, err
	}
	resp, err := callWithFailover(ctx, client, adminpb.Admin.GetConfig, &adminpb.GetConfigRequest{})
	if err != nil {
		return nil, err
	}
	return resp.GetConfig(), nil
}

func (a *admin) fetchStatus(ctx context.Context) (*adminpb.GetStatusResponse, error) {
	client, err := a.connect()
	if err != nil {
		return nil, err
	}
	return callWithFailover(ctx, client, adminpb.Admin.GetStatus, &adminpb.GetStatusRequest{})
}

func newAdminStatus(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the leader, the members, and the revision of each entry VM",
		Example: "  balsamcourse admin status",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			status, err := a.fetchStatus(cmd.Context())
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, status)
			}
			fmt.Fprintf(a.out, "leader %d, term %d, revision %d, accepted revision %d\n\n",
				status.GetLeaderId(), status.GetTerm(), status.GetRevision(), status.GetAcceptedRevision())
			if err := a.printMemberStatus(status); err != nil {
				return err
			}
			fmt.Fprintln(a.out)
			return a.printEntries(status)
		}),
	}
}

func (a *admin) printEntries(status *adminpb.GetStatusResponse) error {
	t := newTable(a.out, "ENTRY", "ZONE", "REVISION", "LIVE", "HEARD MS AGO")
	for _, e := range status.GetEntries() {
		t.row(e.GetId(), e.GetZone(), e.GetRevision(), e.GetLive(), e.GetLastHeardMs())
	}
	return t.flush()
}

func newAdminConfig(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "config",
		Short:   "Print the whole configuration as JSON",
		Example: "  balsamcourse admin config > config.json",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			config, err := a.fetchConfig(cmd.Context())
			if err != nil {
				return err
			}
			return printMessage(a.out, config)
		}),
	}
}

func newAdminEntry(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "entry",
		Short:   "List and remove entry VMs",
		Example: "  balsamcourse admin entry list",
	}
	cmd.AddCommand(newEntryList(a), newEntryRemove(a))
	return cmd
}

func newEntryList(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the entry VMs",
		Example: "  balsamcourse admin entry list",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			status, err := a.fetchStatus(cmd.Context())
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, &adminpb.GetStatusResponse{Revision: status.Revision, Entries: status.Entries})
			}
			return a.printEntries(status)
		}),
	}
}

func newEntryRemove(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "remove ID",
		Short:   "Remove an entry VM that is permanently out of service",
		Example: "  balsamcourse admin entry remove entry-a1",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			client, err := a.connect()
			if err != nil {
				return err
			}
			if _, err := callWithFailover(cmd.Context(), client, adminpb.Admin.RemoveEntry, &adminpb.RemoveEntryRequest{Id: args[0]}); err != nil {
				return err
			}
			_, err = fmt.Fprintln(a.out, "removed")
			return err
		}),
	}
}
