// Command standin plays the cases of the review: it starts the programs of the system as
// separate processes on loopback addresses, with stand-ins for clients, instances, operator
// and platform, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held = iota
	broken
	notRun
)

// runLimit is the time after which a case counts as not run.
const runLimit = 115 * time.Second

// cases are the cases by name. Each returns the number of breaks of its rule.
var cases = map[string]func(ctx context.Context, rec *recorder, trouble bool) (int, error){
	"planned-stop": plannedStop,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return notRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	breaks, err := cases[os.Args[1]](ctx, rec, os.Getenv("TROUBLE") != "0")
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		rec.line("result: not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	}
	rec.line("result: the rule was broken %d times", breaks)
	fmt.Printf("the rule was broken %d times\n", breaks)
	if breaks > 0 {
		return broken
	}
	return held
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
