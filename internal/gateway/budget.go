package gateway

import "sync"

// The retry budget: retries may add at most a tenth to the requests, with a small reserve for quiet times.
const (
	budgetPerRequest = 0.1
	budgetReserve    = 10
)

// budget bounds retries to a share of the requests, so that retries cannot multiply an overload.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetReserve} }

// earn adds what one request allows.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPerRequest, budgetReserve)
}

// spend takes one retry if there is one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
