package fleet

import "time"

// Queue is a route of the manifest that accepts jobs.
type Queue struct {
	Name string
	Host string
	// Prefix is the path prefix of the queue, with its trailing slash.
	Prefix string
	// Pool names the service whose workers run the queue's tasks.
	Pool string
	// Public queues accept jobs without an API key.
	Public bool
	// Priority 0 is the highest.
	Priority    int
	MaxAttempts int
	// LatencyObjective is the time a job may take beyond Stretch times its
	// critical path.
	LatencyObjective time.Duration
	// Timeout limits one call.
	Timeout time.Duration
	Stretch float64
	// NeedsTicket is true if workers need a ticket of the advice service.
	NeedsTicket bool
	// TicketTTL is how long a ticket is valid. The advice service takes
	// AdviceBaseLatency plus AdviceLatencyPerWorker for each worker.
	TicketTTL              time.Duration
	AdviceBaseLatency      time.Duration
	AdviceLatencyPerWorker time.Duration
}
