package forward

import (
	"sync"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Retry budget of one service, in thousandths of a retry.
const (
	retryCost           = 1000
	maxRetryBalance     = 100 * retryCost
	initialRetryBalance = 10 * retryCost
	// defaultRetryPermille is what one successful response earns for a service
	// that sets no retry budget.
	defaultRetryPermille = 100
)

// retryBudgets limits the retries and hedges of each service to a share of
// its successful responses. It is safe for concurrent use.
type retryBudgets struct {
	mu      sync.Mutex
	balance map[string]int
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{balance: make(map[string]int)}
}

// deposit adds the share that one successful response earns.
func (b *retryBudgets) deposit(s *catalogpb.Service) {
	earned := int(s.RetryBudgetPermille)
	if earned == 0 {
		earned = defaultRetryPermille
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance[s.Name] = min(maxRetryBalance, b.balanceOf(s.Name)+earned)
}

// withdraw pays for one retry; it reports false when the balance is too low.
func (b *retryBudgets) withdraw(s *catalogpb.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balanceOf(s.Name)
	if balance < retryCost {
		return false
	}
	b.balance[s.Name] = balance - retryCost
	return true
}

// refund returns the cost of a retry that was paid for and not made.
func (b *retryBudgets) refund(s *catalogpb.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance[s.Name] = min(maxRetryBalance, b.balanceOf(s.Name)+retryCost)
}

// balanceOf returns the balance of a service. The caller must hold mu.
func (b *retryBudgets) balanceOf(service string) int {
	balance, ok := b.balance[service]
	if !ok {
		return initialRetryBalance
	}
	return balance
}
