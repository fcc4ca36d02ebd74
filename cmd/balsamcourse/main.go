// Command balsamcourse is a load balancer for servers whose load shifts in
// milliseconds.
package main

import (
	"context"
	"os"

	"balsamcourse.example/balsamcourse/internal/cli"
)

func main() {
	os.Exit(cli.Execute(context.Background(), os.Args[1:], cli.Daemons{}, os.Stdout, os.Stderr))
}
