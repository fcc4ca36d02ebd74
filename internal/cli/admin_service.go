package cli

import (
	"github.com/spf13/cobra"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func newAdminService(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Create, replace, delete and list services",
		Example: "  balsamcourse admin service list",
	}
	cmd.AddCommand(newServicePut(a), newServiceDelete(a), newServiceList(a))
	return cmd
}

func newServicePut(a *admin) *cobra.Command {
	s := &catalogpb.Service{}
	cmd := &cobra.Command{
		Use:     "put NAME --path-prefix PATH",
		Short:   "Create or replace a service",
		Example: "  balsamcourse admin service put booking --path-prefix /booking --slots 2 --cold-slots 1",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			s.Name = args[0]
			return a.apply(cmd.Context(), &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: s}})
		}),
	}
	f := cmd.Flags()
	f.StringVar(&s.PathPrefix, "path-prefix", "", "requests at or below this path belong to the service")
	f.Uint32Var(&s.Slots, "slots", 1, "concurrent requests of a warm upstream whose announcement states no number")
	f.Uint32Var(&s.ColdSlots, "cold-slots", 1, "maximum requests in flight at an upstream in cold start")
	f.Uint32Var(&s.WarmAfter, "warm-after", 20, "number of completed requests after which a cold start ends")
	f.Uint32Var(&s.ProbeBudgetPermille, "probe-budget-permille", 10, "maximum share of slot time spent on probes, in thousandths")
	f.StringVar(&s.ProbePath, "probe-path", "", "path that probes request; empty disables probes")
	f.Uint32Var(&s.ProbeCostMs, "probe-cost-ms", 6, "slot time charged for one probe, in milliseconds")
	f.Uint32Var(&s.QueueLimit, "queue-limit", 64, "maximum requests waiting for a slot in one cell")
	f.Uint32Var(&s.TimeoutMs, "timeout-ms", 10_000, "time limit of a call for which the caller sets no deadline, in milliseconds")
	f.Uint32Var(&s.RetryBudgetPermille, "retry-budget-permille", 100, "maximum retries and hedged requests as a share of successful responses, in thousandths")
	f.Uint32Var(&s.Shards, "shards", 1, "number of cells per availability zone")
	return cmd
}

func newServiceDelete(a *admin) *cobra.Command {
	return newChangeCommand(a, "delete NAME", "Delete a service", "  balsamcourse admin service delete booking",
		func(name string) (*catalogpb.Change, error) {
			return &catalogpb.Change{Kind: &catalogpb.Change_DeleteService{DeleteService: name}}, nil
		})
}

func newServiceList(a *admin) *cobra.Command {
	return newListCommand(a, listSpec{
		short:   "List the services",
		example: "  balsamcourse admin service list --output json",
		selectPart: func(c *catalogpb.Config) *catalogpb.Config {
			return &catalogpb.Config{Revision: c.Revision, Services: c.Services}
		},
		header: []any{"NAME", "PREFIX", "SLOTS", "COLD", "WARM AFTER", "QUEUE", "TIMEOUT MS", "SHARDS"},
		addRows: func(t table, c *catalogpb.Config) {
			for _, s := range c.Services {
				t.row(s.Name, s.PathPrefix, s.Slots, s.ColdSlots, s.WarmAfter, s.QueueLimit, s.TimeoutMs, max(s.Shards, 1))
			}
		},
	})
}
