package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// takeAll takes retries until the budget is spent and returns their number.
func takeAll(b *retryBudgets, s *catalogpb.Service) int {
	n := 0
	for b.take(s) {
		n++
	}
	return n
}

func TestRetryBudget(t *testing.T) {
	cases := []struct {
		name     string
		permille uint32
		answers  int
		want     int
	}{
		{"nothing earned", 100, 0, 0},
		{"short of one", 100, 9, 0},
		{"one", 100, 10, 1},
		{"default share", 0, 25, 2},
		{"larger share", 500, 5, 2},
		{"bounded", 1000, 1000, maxRetryBalance / retryCost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &catalogpb.Service{Name: "s", RetryBudgetPermille: tc.permille}
			b := newRetryBudgets()
			assert.Equal(t, takeAll(b, s), initialRetries/retryCost)
			for range tc.answers {
				b.earn(s)
			}
			assert.Equal(t, takeAll(b, s), tc.want)
			assert.Equal(t, takeAll(b, &catalogpb.Service{Name: "other"}), initialRetries/retryCost)
		})
	}
}
