// Package cli implements the balsamcourse command line.
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

// Daemons contains the functions that run the roles of the system. Each of them
// returns when its role has stopped. Closing plannedStop requests a planned
// stop, which waits for the calls in flight; the end of ctx stops the role
// immediately.
type Daemons struct {
	Control func(ctx context.Context, plannedStop <-chan struct{}, s settings.Control) error
	Entry   func(ctx context.Context, plannedStop <-chan struct{}, s settings.Entry) error
	Dev     func(ctx context.Context, plannedStop <-chan struct{}, o DevOptions) error
	Gateway func(ctx context.Context, plannedStop <-chan struct{}, s settings.Gateway) error
	// Extra contains commands of other packages to add to the root command.
	Extra []*cobra.Command
}

// DevOptions configures the development system, which runs in one process.
type DevOptions struct {
	// CallerListen, OperatorListen and AnnounceListen are the addresses to
	// listen on for callers, operators and announcements of upstreams.
	CallerListen   string
	OperatorListen string
	AnnounceListen string
	// MetricsListen is the address of the metrics endpoint; empty disables it.
	MetricsListen string
	// DataDir is the directory for the state of the control replica and the
	// log; empty means a temporary directory that is removed on exit.
	DataDir string
	// Upstreams is the number of simulated upstreams of the demo service.
	Upstreams int
	// LogLevel is the lowest level of events to log.
	LogLevel string
	// Out receives the listen addresses and an example command.
	Out io.Writer
}

// environment contains the daemons and output streams that commands use.
type environment struct {
	daemons Daemons
	out     io.Writer
	errOut  io.Writer
}

// Execute runs the command line with the arguments args and returns the exit
// code of the process. An error is printed to errOut.
func Execute(ctx context.Context, args []string, d Daemons, out, errOut io.Writer) int {
	root := newRoot(&environment{daemons: d, out: out, errOut: errOut})
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

// exitCode returns the exit code for err. An error without a kind comes from
// cobra and is a usage error, because commands return errors with a kind.
func exitCode(err error) int {
	var e *fault.Error
	if errors.As(err, &e) {
		return e.Response().ExitCode
	}
	return fault.ExitUsage
}

func newRoot(env *environment) *cobra.Command {
	root := &cobra.Command{
		Use:   "balsamcourse",
		Short: "A load balancer for servers whose load shifts in milliseconds",
		Long: `A load balancer for servers whose load shifts in milliseconds.

Exit codes: 0 success, 1 internal error, 2 usage error, 3 refused,
4 unavailable (try again later), 5 conflict, 6 invalid settings.`,
		Example:       "  balsamcourse dev",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.HiddenDefaultCmd = true
	root.AddCommand(
		newControl(env), newEntry(env), newGateway(env), newDev(env),
		newAdmin(env), newLookup(env), newLoad(env), newExplain(env),
		newSettings(env), newCharts(env), newDocs(env), newVersion(env),
	)
	root.AddCommand(env.daemons.Extra...)
	return root
}

// withErrorKind wraps run so that each of its errors has a fault.Kind.
func withErrorKind(run func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := run(cmd, args); err != nil {
			return fault.FromError(err)
		}
		return nil
	}
}

// usageError returns an error for an invalid command line.
func usageError(format string, args ...any) error {
	return fault.New(fault.BadRequest, format, args...)
}
