package dispatch

import "sync/atomic"

const (
	// successesPerRetry is the number of successes that earn one retry.
	successesPerRetry = 10
	// maxSavedRetries bounds the retries saved up for a burst of failures. A
	// new entry starts with as many.
	maxSavedRetries = 100
)

// retryBudget limits the retries of work that may have started to a fraction of
// the successes, so that retries cannot multiply the load of a failing fleet.
// It takes no lock.
type retryBudget struct {
	// credit is counted in successes.
	credit atomic.Int64
}

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.credit.Store(maxSavedRetries * successesPerRetry)
	return b
}

// recordSuccess earns a fraction of a retry.
func (b *retryBudget) recordSuccess() {
	for {
		credit := b.credit.Load()
		if credit >= maxSavedRetries*successesPerRetry || b.credit.CompareAndSwap(credit, credit+1) {
			return
		}
	}
}

// spend takes one retry from the budget, or reports false if it is exhausted.
func (b *retryBudget) spend() bool {
	for {
		credit := b.credit.Load()
		if credit < successesPerRetry {
			return false
		}
		if b.credit.CompareAndSwap(credit, credit-successesPerRetry) {
			return true
		}
	}
}
