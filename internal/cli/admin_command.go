package cli

import (
	"github.com/spf13/cobra"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// newChangeCommand returns a command whose argument is the name of an object.
// The command applies the change that the function change returns for the name.
func newChangeCommand(a *admin, use, short, example string, change func(name string) (*catalogpb.Change, error)) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			c, err := change(args[0])
			if err != nil {
				return err
			}
			return a.apply(cmd.Context(), c)
		}),
	}
}

// listSpec describes a command that lists one part of the configuration.
type listSpec struct {
	short   string
	example string
	// selectPart returns a configuration with only the part to print as JSON.
	selectPart func(*catalogpb.Config) *catalogpb.Config
	// header and addRows define the table of the text output.
	header  []any
	addRows func(table, *catalogpb.Config)
}

func newListCommand(a *admin, l listSpec) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   l.short,
		Example: l.example,
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			config, err := a.fetchConfig(cmd.Context())
			if err != nil {
				return err
			}
			if a.output == outputJSON {
				return printMessage(a.out, l.selectPart(config))
			}
			t := newTable(a.out, l.header...)
			l.addRows(t, config)
			return t.flush()
		}),
	}
}
