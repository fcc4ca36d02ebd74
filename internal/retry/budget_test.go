package retry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Slack: 80, Window: 10 * time.Second}

// budgetVM is an entry VM in TestRetriesOfAllEntryVMsStayWithinTheLimit.
type budgetVM struct {
	budget Budget
	share  Share
	// starts counts the starts of its process.
	starts int
}

// delayedRetry is a retry that was reserved and waits for an upstream.
type delayedRetry struct {
	vm, starts int
	sendAt     time.Duration
}

// Draws requests, their retries, the waits of retries for an upstream, restarts
// of entry VMs, and entry VMs that serve for a while before the others know of
// them. Checks the retries of all entry VMs together in each window against the
// limit.
func TestRetriesOfAllEntryVMsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]*budgetVM, rapid.IntRange(1, 30).Draw(t, "vms"))
		for i := range vms {
			vms[i] = &budgetVM{share: Share{EntryVMs: len(vms)}}
		}
		longestWait := rapid.IntRange(0, 4000).Draw(t, "longest_wait")
		var requests, attempts []time.Duration
		var waiting []delayedRetry
		now := time.Duration(0)
		steps := rapid.IntRange(50, 600).Draw(t, "steps")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond
			waiting = slices.DeleteFunc(waiting, func(r delayedRetry) bool {
				vm := vms[r.vm]
				if r.sendAt > now {
					return false
				}
				if vm.starts == r.starts && vm.budget.Send(now, limits, vm.share) {
					attempts = append(attempts, now)
				}
				return true
			})
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				vms[i] = &budgetVM{share: Share{EntryVMs: vms[i].share.EntryVMs, Since: now}, starts: vms[i].starts + 1}
			case 1:
				vms = append(vms, &budgetVM{})
			case 2:
				for _, vm := range vms {
					if vm.share.EntryVMs == 0 {
						vm.share.Since = now
					}
					vm.share.EntryVMs = len(vms)
				}
			}
			vm := vms[i]
			vm.budget.RecordRequest(now, limits)
			requests = append(requests, now)
			for range rapid.IntRange(0, 4).Draw(t, "wanted") {
				if vm.budget.Reserve(now, limits, vm.share) {
					wait := time.Duration(rapid.IntRange(0, longestWait).Draw(t, "wait")) * time.Millisecond
					waiting = append(waiting, delayedRetry{i, vm.starts, now + wait})
				}
			}
		}
		for _, end := range attempts {
			bound := limits.Ratio*float64(countInWindow(requests, end)) + limits.Slack
			assert.Assert(t, float64(countInWindow(attempts, end)) <= bound)
		}
	})
}

// countInWindow returns how many of times are in the window that ends at end.
func countInWindow(times []time.Duration, end time.Duration) int {
	n := 0
	for _, at := range times {
		if at <= end && at > end-limits.Window {
			n++
		}
	}
	return n
}

// take reserves a retry and sends it at once.
func take(b *Budget, now time.Duration, share Share) bool {
	return b.Reserve(now, limits, share) && b.Send(now, limits, share)
}

func TestBudgetIsExhaustedAndRenewedInTheNextWindow(t *testing.T) {
	var b Budget
	share := Share{EntryVMs: 20}
	start := limits.Window
	taken := 0
	for take(&b, start, share) {
		taken++
	}
	assert.Equal(t, taken, 1)
	for range 100 {
		b.RecordRequest(start, limits)
	}
	for take(&b, start, share) {
		taken++
	}
	fullBudget := limits.Ratio*100 + limits.Slack/20
	usableBudget := limits.Ratio*ratioFraction*100 + limits.Slack*slackFraction/20
	assert.Equal(t, taken, int(usableBudget))
	assert.Assert(t, float64(taken) < fullBudget)
	assert.Assert(t, take(&b, start+12*time.Second, share))
}

// A restarted entry VM has forgotten its retries: it must not have its part of the
// slack at once.
func TestSlackGrowsOverTheFirstWindow(t *testing.T) {
	var b Budget
	share := Share{EntryVMs: 1, Since: time.Minute}
	assert.Equal(t, b.Remaining(time.Minute, limits, share), 0.0)
	assert.Equal(t, b.Remaining(time.Minute+limits.Window/4, limits, share), limits.Slack*slackFraction/4)
	assert.Equal(t, b.Remaining(time.Hour, limits, share), limits.Slack*slackFraction)
}

// The others leave no room in the slack for an entry VM that they do not know of.
func TestUnknownEntryVMHasOnlyItsRatio(t *testing.T) {
	var b Budget
	assert.Equal(t, b.Remaining(time.Hour, limits, Share{}), 0.0)
	for range 100 {
		b.RecordRequest(time.Hour, limits)
	}
	assert.Equal(t, b.Remaining(time.Hour, limits, Share{}), limits.Ratio*ratioFraction*100)
}

func TestReservedRetriesCountUntilReleased(t *testing.T) {
	var b Budget
	share := Share{EntryVMs: 36}
	now := limits.Window
	assert.Assert(t, b.Reserve(now, limits, share))
	assert.Assert(t, !b.Reserve(now, limits, share))
	b.Release()
	assert.Assert(t, take(&b, now, share))
	assert.Assert(t, !b.Reserve(now, limits, share))
}

// A retry that waits until the requests that allowed it have left the window is
// not sent.
func TestReservedRetryIsNotSentOnceTheBudgetIsSmaller(t *testing.T) {
	var b Budget
	for range 10 {
		b.RecordRequest(0, limits)
	}
	assert.Assert(t, b.Reserve(0, limits, Share{}))
	assert.Assert(t, !b.Send(11*time.Second, limits, Share{}))
	assert.Equal(t, b.Remaining(11*time.Second, limits, Share{}), 0.0)
}

// Retries that wait for an upstream until shortly before the window of their
// reservation ends, and those of the next window, may arrive together.
func TestRetriesThatWaitCountInTheWindowInWhichTheyAreSent(t *testing.T) {
	const perSecond = 100
	share := Share{EntryVMs: 1}
	var b Budget
	var requests, attempts []time.Duration
	reserved := 0
	reserveAll := func(now time.Duration) {
		for b.Reserve(now, limits, share) {
			reserved++
		}
	}
	sendAll := func(now time.Duration) {
		for ; reserved > 0; reserved-- {
			if b.Send(now, limits, share) {
				attempts = append(attempts, now)
			}
		}
	}
	for now := time.Duration(0); now <= 21*time.Second; now += time.Second / perSecond {
		b.RecordRequest(now, limits)
		requests = append(requests, now)
		switch now {
		case 10 * time.Second:
			reserveAll(now)
		case 13 * time.Second:
			sendAll(now)
		case 21 * time.Second:
			reserveAll(now)
			sendAll(now)
		}
	}
	end := 21 * time.Second
	bound := limits.Ratio*float64(countInWindow(requests, end)) + limits.Slack
	got := countInWindow(attempts, end)
	assert.Assert(t, got > 0 && float64(got) <= bound, "%d retries in a window, allowed %v", got, bound)
}
