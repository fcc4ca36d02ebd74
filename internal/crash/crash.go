// Package crash ends the process when a goroutine panics.
//
// conc.WaitGroup keeps a panic until somebody waits for the group, which for
// the loops of a daemon is its end: a daemon whose loop has panicked would go on
// with what it knew then. A process that ends is started again.
package crash

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/sourcegraph/conc"
)

// ExitCode is that of a process that ends because of a panic; it is the one of
// the Go runtime.
const ExitCode = 2

// output and exit are replaced in tests.
var (
	output io.Writer = os.Stderr
	exit             = os.Exit
)

// Go runs f in the group. When f panics, the process writes the stack and ends.
func Go(group *conc.WaitGroup, f func()) {
	group.Go(func() {
		defer end()
		f()
	})
}

func end() {
	p := recover()
	if p == nil {
		return
	}
	fmt.Fprintf(output, "panic: %v\n\n%s\n", p, debug.Stack())
	exit(ExitCode)
}
