package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// admin contains the flags that all admin commands share.
type admin struct {
	*environment
	control        []string
	keyFile        string
	operator       string
	number         uint64
	expectRevision uint64
	wait           time.Duration
	dryRun         bool
	output         string
}

func newAdmin(env *environment) *cobra.Command {
	a := &admin{environment: env}
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Change and read the configuration",
		Long: `Change and read the configuration.

Every change is identified by an operator and a number. Sending a change again
with the same operator and number has no further effect and returns the same
result. Without --number, a number is derived from the clock and printed, so that
the change can be sent again.`,
		Example: "  balsamcourse admin status --control 10.0.1.11:8081,10.0.2.11:8081 --key-file ops.key",
		PersistentPreRunE: withErrorKind(func(*cobra.Command, []string) error {
			return a.validate()
		}),
	}
	f := cmd.PersistentFlags()
	f.StringSliceVar(&a.control, "control", []string{"127.0.0.1:8081"}, "addresses of control VMs for operators, tried in turn")
	f.StringVar(&a.keyFile, "key-file", "", `file with a line "operator key"`)
	f.StringVar(&a.operator, "operator", "", "operator of the change (default: the first name in the key file, else \"operator\")")
	f.Uint64Var(&a.number, "number", 0, "number of the change (default: derived from the clock)")
	f.Uint64Var(&a.expectRevision, "expect-revision", 0, "refuse the change unless this is the operator revision; 0 means any")
	f.DurationVar(&a.wait, "wait", 10*time.Second, "maximum wait for the change to be accepted")
	f.BoolVar(&a.dryRun, "dry-run", false, "print what would change without changing it")
	f.StringVar(&a.output, "output", outputText, "text or json")
	cmd.AddCommand(
		newAdminApply(a), newAdminExport(a),
		newAdminService(a), newAdminZone(a), newAdminRule(a),
		newAdminRollout(a), newAdminEntry(a), newAdminMember(a), newAdminQuarantine(a),
		newAdminStatus(a), newAdminConfig(a),
	)
	return cmd
}

func (a *admin) validate() error {
	if err := checkOutput(a.output); err != nil {
		return err
	}
	if a.wait < 0 || a.wait > time.Hour {
		return usageError("invalid --wait %v: must be between 0s and 1h", a.wait)
	}
	return nil
}

// apply sends the change to the control VMs and prints its result.
func (a *admin) apply(ctx context.Context, change *catalogpb.Change) error {
	client, err := a.connect()
	if err != nil {
		return err
	}
	req := a.newApplyRequest(change, client.operator)
	fmt.Fprintf(a.errOut, "operator %s number %d\n", req.Change.Id.Operator, req.Change.Id.Number)
	resp, err := callWithFailover(ctx, client, adminpb.Admin.Apply, req)
	if err != nil {
		return err
	}
	return a.handleChangeResult(resp)
}

// newApplyRequest returns the request for a change. Without --number, the number
// is the current time in nanoseconds, so that later changes have higher numbers.
func (a *admin) newApplyRequest(change *catalogpb.Change, operator string) *adminpb.ApplyRequest {
	number := a.number
	if number == 0 {
		number = uint64(time.Now().UnixNano())
	}
	return &adminpb.ApplyRequest{
		Change: &catalogpb.OperatorChange{
			Id:                       &catalogpb.ChangeID{Operator: operator, Number: number},
			ExpectedOperatorRevision: a.expectRevision,
			Change:                   change,
		},
		DryRun: a.dryRun,
		WaitMs: uint32(a.wait.Milliseconds()),
	}
}

// handleChangeResult prints the result of a change. It returns an error if the
// change was rejected, or committed but not accepted within the wait.
func (a *admin) handleChangeResult(resp *adminpb.ApplyResponse) error {
	if err := outcomeError(resp.GetResult()); err != nil {
		return err
	}
	if a.output == outputJSON {
		if err := printMessage(a.out, resp); err != nil {
			return err
		}
	} else {
		a.printChangeResult(resp)
	}
	if a.dryRun || resp.GetAccepted() {
		return nil
	}
	return fault.New(fault.NotAccepted, "the change is committed but not yet accepted: missing acknowledgements of entry VMs %v", resp.GetMissing())
}

func (a *admin) printChangeResult(resp *adminpb.ApplyResponse) {
	r := resp.GetResult()
	for _, line := range r.GetDiff() {
		fmt.Fprintln(a.out, line)
	}
	switch {
	case a.dryRun:
		fmt.Fprintln(a.out, "dry run: nothing was changed")
	case resp.GetAccepted():
		fmt.Fprintf(a.out, "accepted: revision %d, operator revision %d\n", r.GetRevision(), r.GetOperatorRevision())
	default:
		fmt.Fprintf(a.out, "committed: revision %d, operator revision %d\n", r.GetRevision(), r.GetOperatorRevision())
	}
}

// outcomeError returns an error for a change that was rejected, otherwise nil.
func outcomeError(r *catalogpb.ChangeResult) error {
	kinds := map[catalogpb.ChangeOutcome]fault.Kind{
		catalogpb.ChangeOutcome_CHANGE_OUTCOME_CONFLICT: fault.Conflict,
		catalogpb.ChangeOutcome_CHANGE_OUTCOME_STALE:    fault.StaleRevision,
		catalogpb.ChangeOutcome_CHANGE_OUTCOME_INVALID:  fault.InvalidChange,
		catalogpb.ChangeOutcome_CHANGE_OUTCOME_EXPIRED:  fault.ChangeExpired,
	}
	if kind, ok := kinds[r.GetOutcome()]; ok {
		return fault.New(kind, "%s (operator revision is %d)", r.GetDetail(), r.GetOperatorRevision())
	}
	return nil
}
