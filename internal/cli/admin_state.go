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
		Short: "Bring a whole desired state into force",
		Long: `Bring a whole desired state into force: its routes, pools and limits replace
those in force if its version is higher. A version that is not higher changes
nothing and is no error, so that the command may be sent again.`,
		Example: "  balsamcourse admin apply --dry-run settings/state.sample.toml",
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			state, err := settings.LoadState(args[0])
			if err != nil {
				return err
			}
			g, err := a.connect()
			if err != nil {
				return err
			}
			resp, err := call(cmd.Context(), g, adminpb.Admin.ApplyState, &adminpb.ApplyStateRequest{State: state, DryRun: a.dryRun})
			if err != nil {
				return err
			}
			return a.printState(resp)
		}),
	}
}

func (a *admin) printState(resp *adminpb.ApplyStateResponse) error {
	if a.output == outputJSON {
		return printMessage(a.out, resp)
	}
	r := resp.Result
	for _, line := range r.GetDiff() {
		fmt.Fprintln(a.out, line)
	}
	verb := "in force"
	switch {
	case !r.GetApplied():
		verb = "in force already, or a higher one"
	case a.dryRun:
		verb = "would come into force"
	}
	_, err := fmt.Fprintf(a.out, "version %d: %s\n", r.GetHeldVersion(), verb)
	return err
}

func newAdminExport(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "export",
		Short:   "Print the desired state in force as it was sent",
		Example: "  balsamcourse admin export > state.toml",
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			g, err := a.connect()
			if err != nil {
				return err
			}
			resp, err := call(cmd.Context(), g, adminpb.Admin.ReadState, &adminpb.ReadStateRequest{})
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
