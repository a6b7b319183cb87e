package placement

import "sync"

// Shares of a retry budget.
const (
	defaultRetryRatio = 0.1
	defaultRetryFloor = 10
	defaultRetryCap   = 100
)

// Budget bounds retries to a share of the first tries, so that a failing pool isn't loaded
// further by its own failures. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	cap    float64
}

// BudgetOption changes a Budget.
type BudgetOption func(*Budget)

// WithRatio sets how many retries each first try earns.
func WithRatio(ratio float64) BudgetOption {
	return func(b *Budget) { b.ratio = ratio }
}

// WithFloor sets the retries that are there at the start, so that a quiet entry can retry at all.
func WithFloor(floor float64) BudgetOption {
	return func(b *Budget) { b.tokens = floor }
}

// WithCap sets how many unused retries are kept, which bounds the retries of a sudden failure.
func WithCap(limit float64) BudgetOption {
	return func(b *Budget) { b.cap = limit }
}

// NewBudget returns a budget of a tenth of the first tries with a floor of ten.
func NewBudget(opts ...BudgetOption) *Budget {
	b := &Budget{tokens: defaultRetryFloor, ratio: defaultRetryRatio, cap: defaultRetryCap}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Earn is called for each first try.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.cap)
}

// Spend takes one retry out of the budget, or returns false if there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
