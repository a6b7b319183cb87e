package placement

import "sync"

const (
	defaultRetryRatio     = 0.1
	defaultInitialRetries = 10
	defaultRetryCap       = 100
)

// RetryBudget limits retries to a share of the first attempts, so that retries don't add to the load of a failing
// pool without bound. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	cap    float64
}

// RetryBudgetOption configures a RetryBudget.
type RetryBudgetOption func(*RetryBudget)

// WithRatio sets how many retries each first attempt adds to the budget.
func WithRatio(ratio float64) RetryBudgetOption {
	return func(b *RetryBudget) { b.ratio = ratio }
}

// WithInitialRetries sets how many retries the budget starts with, so that an entry with few requests can retry at all.
func WithInitialRetries(retries float64) RetryBudgetOption {
	return func(b *RetryBudget) { b.tokens = retries }
}

// WithCap sets how many unused retries the budget can hold, which limits the burst of retries after a sudden failure.
func WithCap(limit float64) RetryBudgetOption {
	return func(b *RetryBudget) { b.cap = limit }
}

// NewRetryBudget returns a budget that starts with ten retries and by default allows a tenth of the first attempts.
func NewRetryBudget(opts ...RetryBudgetOption) *RetryBudget {
	b := &RetryBudget{tokens: defaultInitialRetries, ratio: defaultRetryRatio, cap: defaultRetryCap}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Deposit adds the share of one first attempt to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.cap)
}

// TryWithdraw takes one retry out of the budget; it returns false if none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
