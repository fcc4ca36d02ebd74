package cli

import (
	"github.com/spf13/cobra"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func newAdminService(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Create, change, delete and list services",
		Example: "  balsamcourse admin service list",
	}
	cmd.AddCommand(newServicePut(a), newServiceDelete(a), newServiceList(a))
	return cmd
}

func newServicePut(a *admin) *cobra.Command {
	s := &catalogpb.Service{}
	cmd := &cobra.Command{
		Use:     "put NAME --path-prefix PATH",
		Short:   "Create a service or replace it as a whole",
		Example: "  balsamcourse admin service put booking --path-prefix /booking --slots 2 --cold-slots 1",
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			s.Name = args[0]
			return a.apply(cmd.Context(), &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: s}})
		}),
	}
	f := cmd.Flags()
	f.StringVar(&s.PathPrefix, "path-prefix", "", "requests at or below this path belong to the service")
	f.Uint32Var(&s.Slots, "slots", 1, "requests that a warm upstream runs at once, when its announcement is silent")
	f.Uint32Var(&s.ColdSlots, "cold-slots", 1, "most requests in flight at an upstream in cold start")
	f.Uint32Var(&s.WarmAfter, "warm-after", 20, "completed requests that end a cold start")
	f.Uint32Var(&s.ProbeBudgetPermille, "probe-budget-permille", 10, "share of slot time that probes may take")
	f.StringVar(&s.ProbePath, "probe-path", "", "path that probes request; empty means no probes")
	f.Uint32Var(&s.ProbeCostMs, "probe-cost-ms", 6, "slot time that one probe is charged")
	f.Uint32Var(&s.QueueLimit, "queue-limit", 64, "most requests that wait for a slot in one cell")
	f.Uint32Var(&s.TimeoutMs, "timeout-ms", 10_000, "time for one call when the caller states no deadline")
	f.Uint32Var(&s.RetryBudgetPermille, "retry-budget-permille", 100, "retries and hedges as a share of successful answers")
	f.Uint32Var(&s.Shards, "shards", 1, "cells for each availability zone")
	return cmd
}

func newServiceDelete(a *admin) *cobra.Command {
	return newChangeByName(a, "delete NAME", "Delete a service", "  balsamcourse admin service delete booking",
		func(name string) (*catalogpb.Change, error) {
			return &catalogpb.Change{Kind: &catalogpb.Change_DeleteService{DeleteService: name}}, nil
		})
}

func newServiceList(a *admin) *cobra.Command {
	return newConfigList(a, configList{
		short:   "List the services",
		example: "  balsamcourse admin service list --output json",
		part: func(c *catalogpb.Config) *catalogpb.Config {
			return &catalogpb.Config{Revision: c.Revision, Services: c.Services}
		},
		header: []any{"NAME", "PREFIX", "SLOTS", "COLD", "WARM AFTER", "QUEUE", "TIMEOUT MS", "SHARDS"},
		rows: func(t table, c *catalogpb.Config) {
			for _, s := range c.Services {
				t.row(s.Name, s.PathPrefix, s.Slots, s.ColdSlots, s.WarmAfter, s.QueueLimit, s.TimeoutMs, max(s.Shards, 1))
			}
		},
	})
}
