package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An order that is read after a pause of the process may have arrived before or during
// it. It must not be based on what the process has applied since.
func TestOrderReadAfterPauseIsBasedOnStateBeforeIt(t *testing.T) {
	const ms = time.Millisecond
	var a arrivals
	for _, step := range []struct {
		at            time.Duration
		applied, base uint64
	}{
		{50 * ms, 10, 10},
		{100 * ms, 12, 12},
		{100*ms + pauseLimit, 13, 13},
		// A pause of 4 s; the process catches up at once.
		{4600 * ms, 20, 13},
		{4650 * ms, 25, 13},
		// Another pause while orders are still held to the state before the first one.
		{5500 * ms, 30, 13},
		{5550 * ms, 31, 13},
		{6000 * ms, 32, 13},
		{6500 * ms, 33, 33},
	} {
		base, _ := a.arrive(step.at, step.applied)
		assert.Equal(t, base, step.base, "at %v", step.at)
	}
}

// Guards against EVAC: a process that ran for a moment between two pauses applied what had
// been ordered during the first one, but read an order of that time only after the second.
func TestOrderReadAfterSeriesOfPausesIsBasedOnStateBeforeTheFirst(t *testing.T) {
	const ms = time.Millisecond
	var a arrivals
	for _, step := range []struct {
		at            time.Duration
		applied, base uint64
	}{
		{50 * ms, 10, 10},
		{4000 * ms, 10, 10},
		{4010 * ms, 20, 10},
		// Longer than pauseHold.
		{8000 * ms, 20, 10},
		{8010 * ms, 30, 10},
		{8500 * ms, 30, 10},
		{8990 * ms, 31, 10},
		{9450 * ms, 32, 32},
	} {
		base, _ := a.arrive(step.at, step.applied)
		assert.Equal(t, base, step.base, "at %v", step.at)
	}
}
