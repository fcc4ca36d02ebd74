// Command harness runs one case of the review: the programs of the system as separate
// processes on loopback addresses, with stand-ins for clients, instances and the operator.
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// caseLimit bounds a case.
const caseLimit = 115 * time.Second

// caseFunc runs a case. It reports whether the rule was broken; trouble is false if the
// case is to run without the disruption.
type caseFunc func(ctx context.Context, rec *record, trouble bool) (broken bool, err error)

// cases holds the cases by name.
var cases = map[string]caseFunc{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE FOLDER")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	broken, err := cases[os.Args[1]](ctx, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return 2
	case broken:
		rec.say("BROKEN")
		return 1
	}
	rec.say("HELD")
	return 0
}
