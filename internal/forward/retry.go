package forward

import (
	"sync"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Bounds of the retry budget of one service, in thousandths of a retry.
const (
	retryCost         = 1000
	maxRetryBalance   = 100 * retryCost
	initialRetries    = 10 * retryCost
	defaultRetryShare = 100
)

// retryBudgets bounds retries as a share of successful answers, by service.
type retryBudgets struct {
	mu      sync.Mutex
	balance map[string]int
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{balance: make(map[string]int)}
}

// earn adds the share of one successful answer.
func (b *retryBudgets) earn(s *catalogpb.Service) {
	share := int(s.RetryBudgetPermille)
	if share == 0 {
		share = defaultRetryShare
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance[s.Name] = min(maxRetryBalance, b.get(s.Name)+share)
}

// take pays for one retry; it reports false when the budget is spent.
func (b *retryBudgets) take(s *catalogpb.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.get(s.Name)
	if have < retryCost {
		return false
	}
	b.balance[s.Name] = have - retryCost
	return true
}

// refund gives back what a retry that was not made has paid.
func (b *retryBudgets) refund(s *catalogpb.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance[s.Name] = min(maxRetryBalance, b.get(s.Name)+retryCost)
}

func (b *retryBudgets) get(service string) int {
	have, ok := b.balance[service]
	if !ok {
		return initialRetries
	}
	return have
}
