package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// withdrawAll withdraws retries until the budget is spent and returns their
// number.
func withdrawAll(b *retryBudgets, s *catalogpb.Service) int {
	n := 0
	for b.withdraw(s) {
		n++
	}
	return n
}

func TestRetryBudgetGrowsWithSuccessfulResponses(t *testing.T) {
	cases := []struct {
		name      string
		permille  uint32
		responses int
		want      int
	}{
		{"nothing earned", 100, 0, 0},
		{"less than one retry earned", 100, 9, 0},
		{"one retry earned", 100, 10, 1},
		{"default share", 0, 25, 2},
		{"larger share", 500, 5, 2},
		{"balance is bounded", 1000, 1000, maxRetryBalance / retryCost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &catalogpb.Service{Name: "s", RetryBudgetPermille: tc.permille}
			b := newRetryBudgets()
			assert.Equal(t, withdrawAll(b, s), initialRetryBalance/retryCost)
			for range tc.responses {
				b.deposit(s)
			}
			assert.Equal(t, withdrawAll(b, s), tc.want)
			assert.Equal(t, withdrawAll(b, &catalogpb.Service{Name: "other"}), initialRetryBalance/retryCost)
		})
	}
}
