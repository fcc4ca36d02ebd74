package cli

import (
	"fmt"
	"math"
	"time"

	"github.com/spf13/cobra"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
)

func newAdminRollout(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "rollout",
		Short:   "Move the requests of a pool to another software version, or show how far that is",
		Example: "  balsamcourse admin rollout start booking --version v2 --duration 12s",
	}
	cmd.AddCommand(newRolloutStart(a), newRolloutStatus(a))
	return cmd
}

func newRolloutStart(a *admin) *cobra.Command {
	var (
		version  string
		duration time.Duration
	)
	cmd := &cobra.Command{
		Use:   "start POOL --version VERSION --duration DURATION",
		Short: "Begin to move the requests of a pool to a software version",
		Long: `Begin to move the requests of a pool to a software version, whose upstreams run
beside those of the version in rotation. The version gets a small share of the
requests at first. If it is found bad, the roll-out is rolled back by itself;
otherwise it is completed within the duration. Repeating the same order has no
further effect.`,
		Example: "  balsamcourse admin rollout start booking --version v2 --duration 12s",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			if ms := duration.Milliseconds(); ms <= 0 || ms > math.MaxUint32 {
				return usageError("invalid --duration %v: must be between 1ms and %v", duration, time.Duration(math.MaxUint32)*time.Millisecond)
			}
			client, err := a.connect()
			if err != nil {
				return err
			}
			order := &catalogpb.StartRollout{Pool: args[0], Target: version, DurationMs: uint32(duration.Milliseconds())}
			resp, err := callWithFailover(cmd.Context(), client, adminpb.Admin.StartRollout, &adminpb.StartRolloutRequest{Rollout: order})
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, resp)
			}
			return a.printRollout(resp.Rollout, "")
		}),
	}
	cmd.Flags().StringVar(&version, "version", "", "software version to move to, as its upstreams announce it")
	cmd.Flags().DurationVar(&duration, "duration", 0, "time within which a good version gets all requests")
	return cmd
}

func newRolloutStatus(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "status POOL",
		Short:   "Show the newest roll-out of a pool and the figures that decided its last step",
		Example: "  balsamcourse admin rollout status booking",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			client, err := a.connect()
			if err != nil {
				return err
			}
			resp, err := callWithFailover(cmd.Context(), client, adminpb.Admin.GetRollout, &adminpb.GetRolloutRequest{Pool: args[0]})
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, resp)
			}
			return a.printRollout(resp.Rollout, resp.Progress)
		}),
	}
}

func (a *admin) printRollout(r *catalogpb.Rollout, progress string) error {
	state := catalog.RolloutStateName(r.GetState())
	if r.GetState() == catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING {
		state += fmt.Sprintf(" (%d permille)", r.GetShiftPermille())
	}
	duration := time.Duration(r.GetDurationMs()) * time.Millisecond
	fmt.Fprintf(a.out, "pool %s: %s to version %s within %v, ordered at revision %d, changed at revision %d\n",
		r.GetPool(), state, r.GetTarget(), duration, r.GetStartedRevision(), r.GetChangedRevision())
	if r.GetReason() != "" {
		fmt.Fprintf(a.out, "reason: %s\n", r.GetReason())
	}
	if progress != "" {
		fmt.Fprintf(a.out, "so far: %s\n", progress)
	}
	return nil
}
