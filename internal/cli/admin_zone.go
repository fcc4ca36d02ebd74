package cli

import (
	"strings"

	"github.com/spf13/cobra"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func newAdminZone(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "zone",
		Short:   "Create availability zones, take them out and bring them back",
		Example: "  balsamcourse admin zone take-out jm-south-b",
	}
	cmd.AddCommand(
		newZonePut(a), newZoneDelete(a), newZoneList(a),
		newZoneState(a, "take-out", "Stop new work in an availability zone; calls in flight end by themselves",
			catalogpb.ZoneState_ZONE_STATE_LEAVING),
		newZoneState(a, "cut-off", "Treat an availability zone as lost",
			catalogpb.ZoneState_ZONE_STATE_OUT),
		newZoneState(a, "bring-back", "Let an availability zone take work again, its upstreams as in cold start",
			catalogpb.ZoneState_ZONE_STATE_RETURNING),
		newZoneState(a, "settle", "End the return of an availability zone",
			catalogpb.ZoneState_ZONE_STATE_IN),
	)
	return cmd
}

func newZonePut(a *admin) *cobra.Command {
	z := &catalogpb.Zone{State: catalogpb.ZoneState_ZONE_STATE_IN}
	cmd := &cobra.Command{
		Use:     "put NAME --region REGION",
		Short:   "Create an availability zone",
		Example: "  balsamcourse admin zone put jm-south-a --region jm-south",
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			z.Name = args[0]
			return a.apply(cmd.Context(), &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: z}})
		}),
	}
	cmd.Flags().StringVar(&z.Region, "region", "", "region of the availability zone")
	return cmd
}

func newZoneDelete(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "delete NAME",
		Short:   "Delete an availability zone that is out",
		Example: "  balsamcourse admin zone delete jm-south-a",
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			return a.apply(cmd.Context(), &catalogpb.Change{Kind: &catalogpb.Change_DeleteZone{DeleteZone: args[0]}})
		}),
	}
}

func newZoneState(a *admin, verb, short string, state catalogpb.ZoneState) *cobra.Command {
	return &cobra.Command{
		Use:     verb + " NAME",
		Short:   short,
		Example: "  balsamcourse admin zone " + verb + " jm-south-b",
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			set := &catalogpb.SetZoneState{Zone: args[0], State: state}
			return a.apply(cmd.Context(), &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: set}})
		}),
	}
}

func newZoneList(a *admin) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the availability zones",
		Example: "  balsamcourse admin zone list",
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			config, err := a.config(cmd.Context())
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, &catalogpb.Config{Revision: config.Revision, Zones: config.Zones})
			}
			t := newTable(a.out, "NAME", "REGION", "STATE")
			for _, z := range config.Zones {
				t.row(z.Name, z.Region, zoneStateText(z.State))
			}
			return t.flush()
		}),
	}
}

func zoneStateText(s catalogpb.ZoneState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ZONE_STATE_"))
}
