package scheduler

import "time"

// tickets are the placement tickets granted for one step.
type tickets struct {
	// byWorker maps a worker to its ticket.
	byWorker map[string]string
	until    time.Time
	// nextRequestAt is when the next request may be sent; zero for any time.
	nextRequestAt time.Time
	// requestedWorkers holds the workers that were part of a request.
	requestedWorkers map[string]bool
}

// valid reports whether the tickets can still be used.
func (t *tickets) valid(now time.Time) bool { return now.Before(t.until) }
