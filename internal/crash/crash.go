// Package crash ends the process when a goroutine panics.
//
// conc.WaitGroup keeps a panic until someone waits for the group, which a
// daemon does for its loops only when it stops. Until then, a daemon whose loop
// has panicked would go on with outdated state. A process that has ended is
// restarted instead.
package crash

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/sourcegraph/conc"
)

// ExitCode is the exit code of a process that ends because of a panic, the same
// as that of the Go runtime.
const ExitCode = 2

// output and exit are replaced in tests.
var (
	output io.Writer = os.Stderr
	exit             = os.Exit
)

// Go runs f in a goroutine of group. If f panics, the process writes the panic
// and the stack to standard error and exits with ExitCode.
func Go(group *conc.WaitGroup, f func()) {
	group.Go(func() {
		defer exitOnPanic()
		f()
	})
}

// exitOnPanic ends the process if the goroutine panics. It must be called by
// defer.
func exitOnPanic() {
	p := recover()
	if p == nil {
		return
	}
	fmt.Fprintf(output, "panic: %v\n\n%s\n", p, debug.Stack())
	exit(ExitCode)
}
