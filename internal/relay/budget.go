package relay

import "sync"

// BudgetConfig bounds the arrivals at a service beyond the first of each request, over all boxes.
type BudgetConfig struct {
	// PerRequest is the part of a repeat that each request allows.
	PerRequest float64
	// Allowance is what all boxes together may use beside that within a window.
	Allowance float64
	// Boxes returns how many boxes share the allowance.
	Boxes func() int
}

// budgetCaution is the part of its share that a box uses: boxes count their own requests, and shares overlap while boxes come and go.
const budgetCaution = 0.7

// budgets bounds the repeats to each service, so that repeats cannot multiply an overload.
type budgets struct {
	cfg    BudgetConfig
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudgets(cfg BudgetConfig) *budgets { return &budgets{cfg: cfg, tokens: map[string]float64{}} }

// most returns how many repeats a box may save up.
func (b *budgets) most() float64 {
	return max(1, budgetCaution*b.cfg.Allowance/float64(max(1, b.cfg.Boxes())))
}

// earn adds what one request allows.
func (b *budgets) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	have, known := b.tokens[service]
	if !known {
		have = b.most()
	}
	b.tokens[service] = min(have+budgetCaution*b.cfg.PerRequest, b.most())
}

// spend takes one repeat if there is one.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
