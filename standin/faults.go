package standin

// LogFaults are the faults injected into the log.
type LogFaults struct {
	// Unavailable rejects every call.
	Unavailable bool `json:"down"`
	// DelayMS delays every reply, in milliseconds.
	DelayMS int `json:"slow_ms"`
	// DropReplies drops the replies to this many appends, after the write.
	DropReplies int `json:"lose_replies"`
	// DropAppends drops this many appends before the write, without a reply.
	DropAppends int `json:"lose_appends"`
	// RateLimitAppends rejects this many appends as over the rate limit.
	RateLimitAppends int `json:"rate_limit"`
	// Disconnected lists the user agents of clients that cannot reach the log.
	Disconnected []string `json:"cut"`
}

// VMFaults are the faults injected into one VM.
type VMFaults struct {
	// FailTasks makes every started task fail.
	FailTasks bool `json:"fail_all"`
	// Frozen blocks every call until the fault is cleared.
	Frozen bool `json:"frozen"`
	// ReplyDelayMS delays the reply to a finished task, in milliseconds.
	ReplyDelayMS int `json:"late_ms"`
	// MismatchReplies answers a task with the answer of the previous task.
	MismatchReplies bool `json:"crossed"`
	// TruncateReplies closes the connection halfway through the answer.
	TruncateReplies bool `json:"truncate"`
	// DropReplies drops the replies to this many finished tasks.
	DropReplies int `json:"lose_replies"`
	// AcceptWhileDraining lets a draining VM accept work and be listed as
	// active.
	AcceptWhileDraining bool `json:"accept_draining"`
	// Failed interrupts the VM's tasks and makes it abort every connection.
	Failed bool `json:"gone"`
}
