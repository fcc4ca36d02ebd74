package crash

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

func TestPanicEndsProcessWithStackTrace(t *testing.T) {
	var out bytes.Buffer
	code := 0
	output, exit = &out, func(c int) { code = c }
	var group conc.WaitGroup
	Go(&group, func() {})
	Go(&group, func() { panic("lost") })
	group.Wait()
	assert.Equal(t, code, ExitCode)
	assert.Assert(t, strings.Contains(out.String(), "panic: lost"))
	assert.Assert(t, strings.Contains(out.String(), "crash_test.go"))
}
