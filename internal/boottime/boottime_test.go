package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestClockAdvancesNoLessThanTheMonotonicClock(t *testing.T) {
	boot, start := Now(), time.Now()
	time.Sleep(10 * time.Millisecond)
	passed := time.Since(start)
	assert.Assert(t, Now()-boot >= passed)
}
