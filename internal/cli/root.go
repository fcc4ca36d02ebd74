// Package cli is the command line of balsamcourse.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// Daemons runs the roles of the system. Each function returns once the role
// has stopped. Closing planned asks for a planned stop, which finishes the
// calls in flight; the end of ctx stops the role at once.
type Daemons struct {
	Control func(ctx context.Context, planned <-chan struct{}, s settings.Control) error
	Entry   func(ctx context.Context, planned <-chan struct{}, s settings.Entry) error
	Dev     func(ctx context.Context, planned <-chan struct{}, o DevOptions) error
	Gateway func(ctx context.Context, planned <-chan struct{}, s settings.Gateway) error
	// Extra holds commands that other packages add.
	Extra []*cobra.Command
}

// DevOptions configures the embedded system that runs in one process.
type DevOptions struct {
	CallerListen   string
	OperatorListen string
	AnnounceListen string
	// MetricsListen serves the scrape endpoint; empty turns it off.
	MetricsListen string
	// DataDir holds the state of the control replica; empty means a folder
	// that is removed at the end.
	DataDir string
	// Upstreams is the number of stand-in upstreams of the demo service.
	Upstreams int
	LogLevel  string
	// Out receives what the process listens on and a line to try.
	Out io.Writer
}

// command carries what every command needs.
type command struct {
	daemons Daemons
	out     io.Writer
	errOut  io.Writer
}

// Execute runs the command line and returns the exit code of the process.
func Execute(ctx context.Context, args []string, d Daemons, out, errOut io.Writer) int {
	root := newRoot(&command{daemons: d, out: out, errOut: errOut})
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return fault.ExitOK
	}
	fmt.Fprintf(errOut, "balsamcourse: %v\n", err)
	return exitCode(err)
}

// exitCode takes errors of no kind as mistakes on the command line: commands
// themselves return errors with a kind.
func exitCode(err error) int {
	var e *fault.Error
	if errors.As(err, &e) {
		return e.Response().ExitCode
	}
	return fault.ExitUsage
}

func newRoot(c *command) *cobra.Command {
	root := &cobra.Command{
		Use:   "balsamcourse",
		Short: "A load balancer for servers whose load shifts in milliseconds",
		Long: `A load balancer for servers whose load shifts in milliseconds.

Exit codes: 0 done, 1 defect, 2 wrong use, 3 refused, 4 unavailable (try
again later), 5 conflict, 6 invalid settings.`,
		Example:       "  balsamcourse dev",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(
		newControl(c), newEntry(c), newGateway(c), newDev(c),
		newAdmin(c), newLookup(c), newLoad(c), newExplain(c),
		newSettings(c), newCharts(c), newDocs(c), newVersion(c),
	)
	root.AddCommand(c.daemons.Extra...)
	return root
}

// withKind wraps run so that each of its errors has a kind.
func withKind(run func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := run(cmd, args); err != nil {
			return fault.FromError(err)
		}
		return nil
	}
}

// usage returns an error for a wrong command line.
func usage(format string, args ...any) error {
	return fault.New(fault.BadRequest, format, args...)
}
