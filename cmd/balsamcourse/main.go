// Command balsamcourse is a load balancer for servers whose load shifts in
// milliseconds.
package main

import (
	"context"
	"os"

	"balsamcourse.example/balsamcourse/internal/cli"
	"balsamcourse.example/balsamcourse/internal/controld"
	"balsamcourse.example/balsamcourse/internal/dev"
	"balsamcourse.example/balsamcourse/internal/entryd"
	"balsamcourse.example/balsamcourse/internal/settings"
)

func main() {
	daemons := cli.Daemons{Control: runControl, Entry: runEntry, Dev: dev.Run}
	os.Exit(cli.Execute(context.Background(), os.Args[1:], daemons, os.Stdout, os.Stderr))
}

func runControl(ctx context.Context, planned <-chan struct{}, s settings.Control) error {
	return controld.Run(ctx, planned, s, os.Stderr)
}

func runEntry(ctx context.Context, planned <-chan struct{}, s settings.Entry) error {
	return entryd.Run(ctx, planned, s, entryd.Options{Logs: os.Stderr})
}
