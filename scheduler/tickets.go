package scheduler

import "time"

// tickets are the advice service's grants for one step.
type tickets struct {
	// byWorker maps a worker to its ticket.
	byWorker map[string]string
	until    time.Time
	// askedAt is when a question went out that has no answer yet; zero for none.
	askedAt time.Time
	// asked holds the workers of which the service has been asked.
	asked map[string]bool
}

// valid reports whether the tickets can still be used.
func (t *tickets) valid(now time.Time) bool { return now.Before(t.until) }
