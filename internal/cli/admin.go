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

// admin holds the flags that all operators' commands share.
type admin struct {
	*command
	control        []string
	keyFile        string
	operator       string
	number         uint64
	expectRevision uint64
	wait           time.Duration
	dryRun         bool
	output         string
}

func newAdmin(c *command) *cobra.Command {
	a := &admin{command: c}
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Change and read the configuration",
		Long: `Change and read the configuration.

Every change carries an operator and a number. Resending a change with the same
operator and number has no further effect and gets the same answer. Without
--number one is made from the clock and printed, so that it can be resent.`,
		Example: "  balsamcourse admin status --control 10.0.1.11:8081,10.0.2.11:8081 --key-file ops.key",
		PersistentPreRunE: withKind(func(*cobra.Command, []string) error {
			return a.prepare()
		}),
	}
	f := cmd.PersistentFlags()
	f.StringSliceVar(&a.control, "control", []string{"127.0.0.1:8081"}, "operators' addresses of control VMs, tried in turn")
	f.StringVar(&a.keyFile, "key-file", "", `file with a line "operator key"`)
	f.StringVar(&a.operator, "operator", "", "operator of the change (default: the name in the key file)")
	f.Uint64Var(&a.number, "number", 0, "number of the change (default: made from the clock)")
	f.Uint64Var(&a.expectRevision, "expect-revision", 0, "refuse the change unless this is the operator revision; 0 means any")
	f.DurationVar(&a.wait, "wait", 10*time.Second, "longest wait for the change to be accepted")
	f.BoolVar(&a.dryRun, "dry-run", false, "print what would change and change nothing")
	f.StringVar(&a.output, "output", outputText, "text or json")
	cmd.AddCommand(
		newAdminApply(a), newAdminExport(a),
		newAdminService(a), newAdminZone(a), newAdminRule(a),
		newAdminEntry(a), newAdminMember(a), newAdminQuarantine(a),
		newAdminStatus(a), newAdminConfig(a),
	)
	return cmd
}

func (a *admin) prepare() error {
	if err := checkOutput(a.output); err != nil {
		return err
	}
	if a.wait < 0 || a.wait > time.Hour {
		return usage("--wait must lie between 0s and 1h")
	}
	return nil
}

// apply sends one change and reports what became of it.
func (a *admin) apply(ctx context.Context, change *catalogpb.Change) error {
	g, err := a.connect()
	if err != nil {
		return err
	}
	req := a.request(change, g.operator)
	fmt.Fprintf(a.errOut, "operator %s number %d\n", req.Change.Id.Operator, req.Change.Id.Number)
	resp, err := call(ctx, g, adminpb.Admin.Apply, req)
	if err != nil {
		return err
	}
	return a.reportChange(resp)
}

func (a *admin) request(change *catalogpb.Change, operator string) *adminpb.ApplyRequest {
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

func (a *admin) reportChange(resp *adminpb.ApplyResponse) error {
	if err := outcomeError(resp.GetResult()); err != nil {
		return err
	}
	if a.output == outputJSON {
		if err := printMessage(a.out, resp); err != nil {
			return err
		}
	} else {
		a.printChange(resp)
	}
	if a.dryRun || resp.GetAccepted() {
		return nil
	}
	return fault.New(fault.NotAccepted, "missing: %v", resp.GetMissing())
}

func (a *admin) printChange(resp *adminpb.ApplyResponse) {
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
