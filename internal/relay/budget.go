package relay

import "sync"

// BudgetConfig limits the retries that all boxes send to a service. Each arrival of a request at an endpoint after
// its first one counts as a retry.
type BudgetConfig struct {
	// RetriesPerRequest is the fraction of a retry that each request adds to the budget.
	RetriesPerRequest float64
	// Allowance is the number of additional retries that all boxes together may send within a window.
	Allowance float64
	// Boxes returns the number of boxes that share the allowance.
	Boxes func() int
}

// budgetSafetyFactor is the fraction of its share that a box uses. It is less than 1 because boxes count only their
// own requests, and because shares overlap while boxes join and leave.
const budgetSafetyFactor = 0.7

// initialBudgetFactor is the fraction of its share with which a box starts: what its former process may have used and this add up to one.
const initialBudgetFactor = 1 - budgetSafetyFactor

// budgets limits the retries to each service, so that retries cannot multiply an overload.
type budgets struct {
	cfg    BudgetConfig
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudgets(cfg BudgetConfig) *budgets { return &budgets{cfg: cfg, tokens: map[string]float64{}} }

// maxTokens returns how many retries a box may accumulate for a service.
func (b *budgets) maxTokens() float64 {
	return max(1, budgetSafetyFactor*b.cfg.Allowance/float64(max(1, b.cfg.Boxes())))
}

// initialTokens returns how many retries a box has when it serves the first request of a service.
func (b *budgets) initialTokens() float64 {
	return min(b.maxTokens(), initialBudgetFactor*b.cfg.Allowance/float64(max(1, b.cfg.Boxes())))
}

// earn adds to the budget of a service the fraction of a retry that one request allows.
func (b *budgets) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, known := b.tokens[service]
	if !known {
		balance = b.initialTokens()
	}
	b.tokens[service] = min(balance+budgetSafetyFactor*b.cfg.RetriesPerRequest, b.maxTokens())
}

// spend takes one retry from the budget of a service. It reports whether one was available.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// hasRetry reports whether the budget of a service has a retry left, without taking it.
func (b *budgets) hasRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens[service] >= 1
}

// refund returns a retry that was taken from the budget of a service and not used.
func (b *budgets) refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.tokens[service]+1, b.maxTokens())
}
