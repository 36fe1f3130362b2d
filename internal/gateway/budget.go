package gateway

import "sync"

// Retries may add at most a tenth to the number of requests. A small reserve allows retries while there are few requests.
const (
	retriesPerRequest = 0.1
	maxSavedRetries   = 10
)

// retryBudget limits retries to a share of the requests, so that retries cannot worsen an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxSavedRetries} }

// addRequest adds the share of a retry that each request allows.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxSavedRetries)
}

// takeRetry uses up one retry and reports whether one was left.
func (b *retryBudget) takeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
