package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/buildinfo"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/statechart"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// Roles that have a settings file.
const (
	roleControl = "control"
	roleEntry   = "entry"
	roleGateway = "gateway"
)

func newSettings(env *environment) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "settings",
		Short:   "Check settings files",
		Example: "  balsamcourse settings check --role entry entry.toml",
	}
	var role string
	check := &cobra.Command{
		Use:     "check --role control|entry|gateway FILE",
		Short:   "Check a settings file without starting a process",
		Example: "  balsamcourse settings check --role control settings/control.sample.toml",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(_ *cobra.Command, args []string) error {
			if err := checkSettings(role, args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(env.out, "%s: valid settings of role %s\n", args[0], role)
			return err
		}),
	}
	check.Flags().StringVar(&role, "role", "", "control, entry or gateway")
	cmd.AddCommand(check)
	return cmd
}

func checkSettings(role, path string) error {
	var err error
	switch role {
	case roleControl:
		_, err = settings.LoadControl(path)
	case roleEntry:
		_, err = settings.LoadEntry(path)
	case roleGateway:
		_, err = settings.LoadGateway(path)
	default:
		err = usageError("invalid --role %q: must be control, entry or gateway", role)
	}
	return err
}

func newCharts(env *environment) *cobra.Command {
	var dot bool
	cmd := &cobra.Command{
		Use:     "charts [NAME...]",
		Short:   "Print the state charts",
		Example: "  balsamcourse charts\n  balsamcourse charts --dot upstream | dot -Tsvg > upstream.svg",
		RunE: withErrorKind(func(_ *cobra.Command, names []string) error {
			if len(names) == 0 {
				var err error
				if names, err = charts.Names(); err != nil {
					return err
				}
			}
			for _, name := range names {
				ch, err := charts.Load(name)
				if err != nil {
					return fault.New(fault.NotFound, "%v", err)
				}
				fmt.Fprint(env.out, renderChart(ch, dot))
			}
			return nil
		}),
	}
	cmd.Flags().BoolVar(&dot, "dot", false, "print Graphviz diagrams")
	return cmd
}

func renderChart(ch *statechart.Chart, dot bool) string {
	if dot {
		return ch.Dot()
	}
	return ch.Text() + "\n"
}

func newDocs(env *environment) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "docs",
		Short:   "Print generated documentation pages",
		Example: "  balsamcourse docs errors > docs/ERRORS.md",
		Hidden:  true,
	}
	cmd.AddCommand(
		newPageCommand(env, "errors", "Print the reference of error kinds", fault.Page),
		newPageCommand(env, "events", "Print the reference of log events", event.Page),
		newPageCommand(env, "metrics", "Print the reference of metrics", telemetry.Page),
	)
	return cmd
}

func newPageCommand(env *environment, name, short string, page func() string) *cobra.Command {
	return &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  balsamcourse docs " + name,
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(env.out, page())
			return err
		}),
	}
}

func newVersion(env *environment) *cobra.Command {
	output := outputText
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  balsamcourse version --output json",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(*cobra.Command, []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			v := buildinfo.Read()
			if output == outputJSON {
				return printJSON(env.out, v)
			}
			_, err := fmt.Fprintf(env.out, "balsamcourse %s (commit %s, %s)\n", v.Version, v.Commit, v.Go)
			return err
		}),
	}
	cmd.Flags().StringVar(&output, "output", outputText, "text or json")
	return cmd
}
