package fleet

import "time"

// Queue is a route of the manifest that accepts jobs. Its JSON form is part of stored jobs.
type Queue struct {
	Name string `json:"n,omitempty"`
	Host string `json:"h,omitempty"`
	// Prefix is the path prefix of the queue, with its trailing slash.
	Prefix string `json:"x,omitempty"`
	// Pool names the service whose workers run the queue's tasks.
	Pool string `json:"p,omitempty"`
	// Public queues accept jobs without an API key.
	Public bool `json:"u,omitempty"`
	// Priority 0 is the highest.
	Priority    int `json:"r,omitempty"`
	MaxAttempts int `json:"m,omitempty"`
	// LatencyObjective is the time a job may take beyond Stretch times its
	// critical path.
	LatencyObjective time.Duration `json:"l,omitempty"`
	// Timeout limits one call.
	Timeout time.Duration `json:"t,omitempty"`
	Stretch float64       `json:"s,omitempty"`
	// NeedsTicket is true if workers need a ticket of the advice service.
	NeedsTicket bool `json:"k,omitempty"`
	// TicketTTL is how long a ticket is valid. The advice service takes
	// AdviceBaseLatency plus AdviceLatencyPerWorker for each worker.
	TicketTTL              time.Duration `json:"kt,omitempty"`
	AdviceBaseLatency      time.Duration `json:"kb,omitempty"`
	AdviceLatencyPerWorker time.Duration `json:"kw,omitempty"`
}
