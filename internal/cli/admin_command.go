package cli

import (
	"github.com/spf13/cobra"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// newChangeByName returns a command that makes one change to the object that
// its argument names.
func newChangeByName(a *admin, use, short, example string, change func(name string) (*catalogpb.Change, error)) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			c, err := change(args[0])
			if err != nil {
				return err
			}
			return a.apply(cmd.Context(), c)
		}),
	}
}

// configList is a command that lists a part of the configuration.
type configList struct {
	short   string
	example string
	// part selects what is printed as JSON.
	part func(*catalogpb.Config) *catalogpb.Config
	// header and rows make the table that is printed as text.
	header []any
	rows   func(table, *catalogpb.Config)
}

func newConfigList(a *admin, l configList) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   l.short,
		Example: l.example,
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			config, err := a.config(cmd.Context())
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, l.part(config))
			}
			t := newTable(a.out, l.header...)
			l.rows(t, config)
			return t.flush()
		}),
	}
}
