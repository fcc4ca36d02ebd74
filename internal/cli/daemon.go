package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/settings"
)

func newControl(c *command) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "control --settings FILE",
		Short: "Run a control VM",
		Long: `Run a control VM, which keeps the configuration on its disk.

The first SIGTERM or SIGINT begins a planned stop; a second one stops at once.`,
		Example: "  balsamcourse control --settings /etc/balsamcourse/control.toml",
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadControl(file)
			if err != nil {
				return err
			}
			ctx, planned, release := watchSignals(cmd.Context())
			defer release()
			return c.daemons.Control(ctx, planned, s)
		}),
	}
	addSettingsFlag(cmd, &file)
	cmd.AddCommand(newRebuild(c))
	return cmd
}

func newEntry(c *command) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run an entry VM",
		Long: `Run an entry VM, which takes callers' requests and dispatches them.

The first SIGTERM or SIGINT begins a planned stop: the VM leaves the look-up
answers, serves until the longest of them has run out, and finishes the calls
in flight. A second signal stops at once.`,
		Example: "  balsamcourse entry --settings /etc/balsamcourse/entry.toml",
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadEntry(file)
			if err != nil {
				return err
			}
			ctx, planned, release := watchSignals(cmd.Context())
			defer release()
			return c.daemons.Entry(ctx, planned, s)
		}),
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

func newGateway(c *command) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "gateway --settings FILE",
		Short: "Run a gateway, an entry VM for whole desired states",
		Long: `Run a gateway: an entry VM that serves the routes of a whole desired state
("balsamcourse admin apply") and asks upstreams for their load before it places
work there. The first SIGTERM or SIGINT begins a planned stop; a second one
stops at once.`,
		Example: "  balsamcourse gateway --settings /etc/balsamcourse/gateway.toml",
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			s, err := settings.LoadGateway(file)
			if err != nil {
				return err
			}
			ctx, planned, release := watchSignals(cmd.Context())
			defer release()
			return c.daemons.Gateway(ctx, planned, s)
		}),
	}
	addSettingsFlag(cmd, &file)
	return cmd
}

func newDev(c *command) *cobra.Command {
	o := DevOptions{Out: c.out}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole system in one process, with a demo service",
		Long: `Run one control replica, one entry and stand-in upstreams of a demo service
in one process on loopback. Keys are off.`,
		Example: "  balsamcourse dev\n  curl http://127.0.0.1:8080/demo/hello",
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			ctx, planned, release := watchSignals(cmd.Context())
			defer release()
			return c.daemons.Dev(ctx, planned, o)
		}),
	}
	f := cmd.Flags()
	f.StringVar(&o.CallerListen, "caller-listen", "127.0.0.1:8080", "address for callers")
	f.StringVar(&o.OperatorListen, "operator-listen", "127.0.0.1:8081", "address for operators")
	f.StringVar(&o.AnnounceListen, "announce-listen", "127.0.0.1:8082", "address for upstreams")
	f.StringVar(&o.MetricsListen, "metrics-listen", "127.0.0.1:9100", "address of the scrape endpoint; empty turns it off")
	f.StringVar(&o.DataDir, "data-dir", "", "folder that keeps the state; a temporary one if empty")
	f.IntVar(&o.Upstreams, "upstreams", 2, "number of stand-in upstreams")
	f.StringVar(&o.LogLevel, "log-level", "warn", "lowest level of events to log: debug, info, warn or error")
	return cmd
}

func addSettingsFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "TOML settings file")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
}

// watchSignals returns a channel that is closed at the first SIGTERM or
// SIGINT, and a context that ends at the second.
func watchSignals(parent context.Context) (context.Context, <-chan struct{}, func()) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	planned := make(chan struct{})
	go func() {
		defer cancel()
		select {
		case <-signals:
			close(planned)
		case <-ctx.Done():
			return
		}
		select {
		case <-signals:
		case <-ctx.Done():
		}
	}()
	return ctx, planned, func() {
		signal.Stop(signals)
		cancel()
	}
}

// endWith returns a context that ends with ctx or when planned is closed.
func endWith(ctx context.Context, planned <-chan struct{}) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-planned:
		case <-ctx.Done():
		}
	}()
	return ctx
}
