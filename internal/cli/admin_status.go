package cli

import (
	"cmp"
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
		Short:   "Show the leader, the members, and the revision and build of each entry VM",
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
			fmt.Fprintf(a.out, "leader %d, term %d, revision %d, accepted revision %d, build %s\n",
				status.GetLeaderId(), status.GetTerm(), status.GetRevision(), status.GetAcceptedRevision(), status.GetBuild())
			for _, line := range explainUnaccepted(status) {
				fmt.Fprintln(a.out, line)
			}
			fmt.Fprintln(a.out)
			if err := a.printMemberStatus(status); err != nil {
				return err
			}
			fmt.Fprintln(a.out)
			return a.printEntries(status)
		}),
	}
}

func (a *admin) printEntries(status *adminpb.GetStatusResponse) error {
	t := newTable(a.out, "ENTRY", "ADDRESS", "ZONE", "REVISION", "LIVE", "HEARD MS AGO", "BUILD")
	for _, e := range status.GetEntries() {
		t.row(e.GetId(), e.GetClusterAddress(), e.GetZone(), e.GetRevision(), e.GetLive(), e.GetLastHeardMs(), cmp.Or(e.GetBuild(), "-"))
	}
	return t.flush()
}

// explainUnaccepted says why the newest revision is not accepted, one line for each
// entry VM that has not acknowledged it, and what an operator can do.
func explainUnaccepted(status *adminpb.GetStatusResponse) []string {
	if status.GetAcceptedRevision() >= status.GetRevision() || status.GetUnacceptedMs() == 0 {
		return nil
	}
	lines := []string{fmt.Sprintf("revision %d is not accepted, since %d ms some are not; a revision waits until each entry VM has acknowledged it or its lease and confirmations have expired",
		status.GetRevision(), status.GetUnacceptedMs())}
	for _, e := range status.GetEntries() {
		if e.GetAcknowledgedRevision() >= status.GetRevision() {
			continue
		}
		line := fmt.Sprintf("  %s at %s has acknowledged revision %d", e.GetId(), e.GetClusterAddress(), e.GetAcknowledgedRevision())
		switch {
		case e.GetSupersededBy() != "":
			line += fmt.Sprintf("; a process at %s reports under its ID and takes its place", e.GetSupersededBy())
		case !e.GetLive():
			line += fmt.Sprintf(" and is silent for %d ms; if its process has ended for good: balsamcourse admin entry remove %s --ended", e.GetLastHeardMs(), e.GetId())
		}
		lines = append(lines, line)
	}
	return lines
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
	ended := false
	cmd := &cobra.Command{
		Use:   "remove ID",
		Short: "Remove an entry VM that is permanently out of service",
		Long: `Remove an entry VM that is permanently out of service.

Without --ended the removal waits until the last change to the set of entry VMs is
accepted. With --ended you state that the process has ended and will never run again:
its acknowledgement is not waited for, also when a majority of the entry VMs is gone.
If the statement is wrong, that process may admit work under an old configuration.`,
		Example: "  balsamcourse admin entry remove entry-a1 --ended",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			client, err := a.connect()
			if err != nil {
				return err
			}
			if _, err := callWithFailover(cmd.Context(), client, adminpb.Admin.RemoveEntry, &adminpb.RemoveEntryRequest{Id: args[0], Ended: ended}); err != nil {
				return err
			}
			_, err = fmt.Fprintln(a.out, "removed")
			return err
		}),
	}
	cmd.Flags().BoolVar(&ended, "ended", false, "state that the process has ended for good")
	return cmd
}
