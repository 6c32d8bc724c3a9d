package fleet

import "time"

// Queue is a route that takes jobs, as the manifest holds it.
type Queue struct {
	Name string
	Host string
	// Prefix is the start of the paths of the queue, with its last slash.
	Prefix string
	// Pool names the service whose workers run the queue's tasks.
	Pool string
	// Public queues take jobs without a key.
	Public bool
	// Priority 0 comes first.
	Priority    int
	MaxAttempts int
	// LatencyObjective is the time that a job may take beside Stretch times its chain.
	LatencyObjective time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
	Stretch float64
	// NeedsTicket tells that the advice service grants the workers.
	NeedsTicket bool
	// TicketTTL is how long a ticket holds; AdviceBase and AdvicePerWorker are
	// how long the service takes for an answer.
	TicketTTL              time.Duration
	AdviceBaseLatency      time.Duration
	AdviceLatencyPerWorker time.Duration
}
