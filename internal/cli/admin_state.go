package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
)

func newAdminApply(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a complete desired state",
		Long: `Apply a complete desired state: its routes, pools and limits replace the
current ones if its version is higher. A version that is not higher changes
nothing and is not an error, so the command can be repeated.`,
		Example: "  balsamcourse admin apply --dry-run settings/state.sample.toml",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			state, err := settings.LoadState(args[0])
			if err != nil {
				return err
			}
			client, err := a.connect()
			if err != nil {
				return err
			}
			resp, err := callWithFailover(cmd.Context(), client, adminpb.Admin.ApplyState, &adminpb.ApplyStateRequest{State: state, DryRun: a.dryRun})
			if err != nil {
				return err
			}
			return a.printStateResult(resp)
		}),
	}
}

func (a *admin) printStateResult(resp *adminpb.ApplyStateResponse) error {
	if a.output == outputJSON {
		return printMessage(a.out, resp)
	}
	r := resp.Result
	for _, line := range r.GetDiff() {
		fmt.Fprintln(a.out, line)
	}
	status := "in force"
	switch {
	case !r.GetApplied():
		status = "in force already; the submitted version is not higher"
	case a.dryRun:
		status = "would come into force"
	}
	_, err := fmt.Fprintf(a.out, "version %d: %s\n", r.GetHeldVersion(), status)
	return err
}

func newAdminExport(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "export",
		Short:   "Print the desired state in force exactly as it was applied",
		Example: "  balsamcourse admin export > state.toml",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			client, err := a.connect()
			if err != nil {
				return err
			}
			resp, err := callWithFailover(cmd.Context(), client, adminpb.Admin.ReadState, &adminpb.ReadStateRequest{})
			if err != nil {
				return err
			}
			if resp.Version == 0 {
				return fault.New(fault.NotFound, "no desired state is in force")
			}
			_, err = a.out.Write(resp.Source)
			return err
		}),
	}
}
