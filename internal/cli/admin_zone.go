package cli

import (
	"strings"

	"github.com/spf13/cobra"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func newAdminZone(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "zone",
		Short:   "Create, delete and list availability zones, take them out of service and bring them back",
		Example: "  balsamcourse admin zone take-out jm-south-b",
	}
	cmd.AddCommand(
		newZonePut(a), newZoneDelete(a), newZoneList(a),
		newZoneState(a, "take-out", "Send no new requests to an availability zone; calls in flight complete",
			catalogpb.ZoneState_ZONE_STATE_LEAVING),
		newZoneState(a, "cut-off", "Treat an availability zone as failed",
			catalogpb.ZoneState_ZONE_STATE_OUT),
		newZoneState(a, "bring-back", "Send requests to an availability zone again; its upstreams start cold",
			catalogpb.ZoneState_ZONE_STATE_RETURNING),
		newZoneState(a, "settle", "Mark the return of an availability zone as complete",
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
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			z.Name = args[0]
			return a.apply(cmd.Context(), &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: z}})
		}),
	}
	cmd.Flags().StringVar(&z.Region, "region", "", "region of the availability zone")
	return cmd
}

func newZoneDelete(a *admin) *cobra.Command {
	return newChangeCommand(a, "delete NAME", "Delete an availability zone that is out of service", "  balsamcourse admin zone delete jm-south-a",
		func(name string) (*catalogpb.Change, error) {
			return &catalogpb.Change{Kind: &catalogpb.Change_DeleteZone{DeleteZone: name}}, nil
		})
}

func newZoneState(a *admin, verb, short string, state catalogpb.ZoneState) *cobra.Command {
	return newChangeCommand(a, verb+" NAME", short, "  balsamcourse admin zone "+verb+" jm-south-b",
		func(name string) (*catalogpb.Change, error) {
			set := &catalogpb.SetZoneState{Zone: name, State: state}
			return &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: set}}, nil
		})
}

func newZoneList(a *admin) *cobra.Command {
	return newListCommand(a, listSpec{
		short:   "List the availability zones",
		example: "  balsamcourse admin zone list",
		selectPart: func(c *catalogpb.Config) *catalogpb.Config {
			return &catalogpb.Config{Revision: c.Revision, Zones: c.Zones}
		},
		header: []any{"NAME", "REGION", "STATE"},
		addRows: func(t table, c *catalogpb.Config) {
			for _, z := range c.Zones {
				t.row(z.Name, z.Region, zoneStateText(z.State))
			}
		},
	})
}

func zoneStateText(s catalogpb.ZoneState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ZONE_STATE_"))
}
