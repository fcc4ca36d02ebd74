// Command balsamcourse is a load balancer for servers whose load shifts in
// milliseconds.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/cli"
	"balsamcourse.example/balsamcourse/internal/controlvm"
	"balsamcourse.example/balsamcourse/internal/dev"
	"balsamcourse.example/balsamcourse/internal/entryvm"
	"balsamcourse.example/balsamcourse/internal/gateway"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/soak"
	"balsamcourse.example/balsamcourse/platform"
)

func main() {
	daemons := cli.Daemons{
		Control: runControl,
		Entry:   runEntry,
		Gateway: runGateway,
		Dev:     dev.Run,
		Extra:   []*cobra.Command{platform.Commands(os.Stdout), soak.Command(os.Stdout, soak.OwnDialect(), platform.SoakDialect())},
	}
	os.Exit(cli.Execute(context.Background(), os.Args[1:], daemons, os.Stdout, os.Stderr))
}

func runControl(ctx context.Context, plannedStop <-chan struct{}, s settings.Control) error {
	s.Limits.LimitMemory()
	return controlvm.Run(ctx, plannedStop, s, controlvm.Options{Logs: os.Stderr})
}

func runEntry(ctx context.Context, plannedStop <-chan struct{}, s settings.Entry) error {
	s.Limits.LimitMemory()
	return entryvm.Run(ctx, plannedStop, s, entryvm.Options{Logs: os.Stderr})
}

func runGateway(ctx context.Context, plannedStop <-chan struct{}, s settings.Gateway) error {
	s.Limits.LimitMemory()
	return gateway.Run(ctx, plannedStop, s, gateway.Options{Logs: os.Stdout})
}
