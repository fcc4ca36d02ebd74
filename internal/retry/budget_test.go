package retry

import (
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
}

// Draws requests, their retries, restarts of entry VMs, and entry VMs that serve
// for a while before the others know of them. Checks the retries of all entry VMs
// together in each window against the limit.
func TestRetriesOfAllEntryVMsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]*budgetVM, rapid.IntRange(1, 30).Draw(t, "vms"))
		for i := range vms {
			vms[i] = &budgetVM{share: Share{EntryVMs: len(vms)}}
		}
		var requests, attempts []time.Duration
		now := time.Duration(0)
		steps := rapid.IntRange(50, 600).Draw(t, "steps")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				vms[i] = &budgetVM{share: Share{EntryVMs: vms[i].share.EntryVMs, Since: now}}
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
				if vm.budget.Take(now, limits, vm.share) {
					attempts = append(attempts, now)
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

func TestBudgetIsExhaustedAndRenewedInTheNextWindow(t *testing.T) {
	var b Budget
	share := Share{EntryVMs: 20}
	start := limits.Window
	taken := 0
	for b.Take(start, limits, share) {
		taken++
	}
	assert.Equal(t, taken, 1)
	for range 100 {
		b.RecordRequest(start, limits)
	}
	for b.Take(start, limits, share) {
		taken++
	}
	fullBudget := limits.Ratio*100 + limits.Slack/20
	usableBudget := limits.Ratio*ratioFraction*100 + limits.Slack*slackFraction/20
	assert.Equal(t, taken, int(usableBudget))
	assert.Assert(t, float64(taken) < fullBudget)
	assert.Assert(t, b.Take(start+12*time.Second, limits, share))
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
