package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/settings"
)

func newControl(env *environment) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "control --settings FILE",
		Short: "Run a control VM",
		Long: `Run a control VM, which stores the configuration on disk.

The first SIGTERM or SIGINT starts a planned stop; a second one stops the process
immediately.`,
		Example: "  balsamcourse control --settings /etc/balsamcourse/control.toml",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadControl(file)
			if err != nil {
				return err
			}
			ctx, plannedStop, release := watchSignals(cmd.Context())
			defer release()
			return env.daemons.Control(ctx, plannedStop, s)
		}),
	}
	addSettingsFlag(cmd, &file)
	cmd.AddCommand(newRebuild(env))
	return cmd
}

func newEntry(env *environment) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run an entry VM",
		Long: `Run an entry VM, which dispatches callers' requests to upstreams.

The first SIGTERM or SIGINT starts a planned stop: look-up responses no longer
name this VM, it serves until the last response that names it has expired, and it
waits for the calls in flight. A second signal stops the process immediately.`,
		Example: "  balsamcourse entry --settings /etc/balsamcourse/entry.toml",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadEntry(file)
			if err != nil {
				return err
			}
			ctx, plannedStop, release := watchSignals(cmd.Context())
			defer release()
			return env.daemons.Entry(ctx, plannedStop, s)
		}),
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

func newGateway(env *environment) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "gateway --settings FILE",
		Short: "Run a gateway, an entry VM that serves a complete desired state",
		Long: `Run a gateway: an entry VM that serves the routes of a complete desired state
("balsamcourse admin apply") and queries upstreams for their load before it sends
requests to them. The first SIGTERM or SIGINT starts a planned stop; a second one
stops the process immediately.`,
		Example: "  balsamcourse gateway --settings /etc/balsamcourse/gateway.toml",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadGateway(file)
			if err != nil {
				return err
			}
			ctx, plannedStop, release := watchSignals(cmd.Context())
			defer release()
			return env.daemons.Gateway(ctx, plannedStop, s)
		}),
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

func newDev(env *environment) *cobra.Command {
	o := DevOptions{Out: env.out}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a complete system in one process, with a demo service",
		Long: `Run one control replica, one entry VM and simulated upstreams of a demo service
in one process on loopback, without keys.`,
		Example: "  balsamcourse dev\n  curl http://127.0.0.1:8080/demo/hello",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			ctx, plannedStop, release := watchSignals(cmd.Context())
			defer release()
			return env.daemons.Dev(ctx, plannedStop, o)
		}),
	}
	f := cmd.Flags()
	f.StringVar(&o.CallerListen, "caller-listen", "127.0.0.1:8080", "listen address for callers")
	f.StringVar(&o.OperatorListen, "operator-listen", "127.0.0.1:8081", "listen address for operators")
	f.StringVar(&o.AnnounceListen, "announce-listen", "127.0.0.1:8082", "listen address for announcements of upstreams")
	f.StringVar(&o.MetricsListen, "metrics-listen", "127.0.0.1:9100", "listen address of the metrics endpoint; empty disables it")
	f.StringVar(&o.DataDir, "data-dir", "", "directory for the state and the log; empty means a temporary directory")
	f.IntVar(&o.Upstreams, "upstreams", 2, "number of simulated upstreams")
	f.StringVar(&o.LogLevel, "log-level", "warn", "lowest level of events to log: debug, info, warn or error")
	return cmd
}

func addSettingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "TOML settings file")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
}

// watchSignals returns a channel that the first SIGTERM or SIGINT closes and a
// context that the second one cancels. The returned function cancels the context
// and stops watching.
func watchSignals(parent context.Context) (context.Context, <-chan struct{}, func()) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	plannedStop := make(chan struct{})
	go func() {
		defer cancel()
		select {
		case <-signals:
			close(plannedStop)
		case <-ctx.Done():
			return
		}
		select {
		case <-signals:
		case <-ctx.Done():
		}
	}()
	return ctx, plannedStop, func() {
		signal.Stop(signals)
		cancel()
	}
}

// cancelOn returns a context that is cancelled with ctx or when stop is closed.
func cancelOn(ctx context.Context, stop <-chan struct{}) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-stop:
		case <-ctx.Done():
		}
	}()
	return ctx
}
