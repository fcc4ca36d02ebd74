package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limits = Limits{Ratio: 0.2, Slack: 80, Window: 10 * time.Second}

// Draws requests, their retries and restarts of entry VMs, and checks the
// retries of all entry VMs together in each window against the limit.
func TestRetriesOfAllEntryVMsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 30).Draw(t, "vms")
		budgets := make([]Budget, vms)
		var requests, attempts []time.Duration
		now := time.Duration(0)
		steps := rapid.IntRange(50, 600).Draw(t, "steps")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				budgets[vm] = Budget{startedAt: now}
			}
			budgets[vm].RecordRequest(now, limits)
			requests = append(requests, now)
			for range rapid.IntRange(0, 4).Draw(t, "wanted") {
				if budgets[vm].Take(now, limits, vms) {
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
	start := limits.Window
	taken := 0
	for b.Take(start, limits, 20) {
		taken++
	}
	assert.Equal(t, taken, 1)
	for range 100 {
		b.RecordRequest(start, limits)
	}
	for b.Take(start, limits, 20) {
		taken++
	}
	fullBudget := limits.Ratio*100 + limits.Slack/20
	usableBudget := limits.Ratio*ratioFraction*100 + limits.Slack*slackFraction/20
	assert.Equal(t, taken, int(usableBudget))
	assert.Assert(t, float64(taken) < fullBudget)
	assert.Assert(t, b.Take(start+12*time.Second, limits, 20))
}

// A restarted entry VM has forgotten its retries: it must not have its part of the
// slack at once.
func TestSlackGrowsOverTheFirstWindow(t *testing.T) {
	b := Budget{startedAt: time.Minute}
	assert.Equal(t, b.Remaining(time.Minute, limits, 1), 0.0)
	assert.Equal(t, b.Remaining(time.Minute+limits.Window/4, limits, 1), limits.Slack*slackFraction/4)
	assert.Equal(t, b.Remaining(time.Hour, limits, 1), limits.Slack*slackFraction)
}
