package standin

// LogFaults are the switches of the log.
type LogFaults struct {
	// Unavailable refuses every call.
	Unavailable bool `json:"down"`
	// DelayMS delays every reply, in milliseconds.
	DelayMS int `json:"slow_ms"`
	// DropReplies drops the reply of this many appends after the write.
	DropReplies int `json:"lose_replies"`
	// DropAppends drops this many appends before the write, without a reply.
	DropAppends int `json:"lose_appends"`
	// RateLimitAppends refuses this many appends as over the rate limit.
	RateLimitAppends int `json:"rate_limit"`
	// Disconnected lists the names of the clients that cannot reach the log.
	Disconnected []string `json:"cut"`
}

// VMFaults are the switches of one VM.
type VMFaults struct {
	// FailTasks ends every started task in failure.
	FailTasks bool `json:"fail_all"`
	// Frozen holds every reply until the switch is off.
	Frozen bool `json:"frozen"`
	// ReplyDelayMS delays the reply of a task after its end, in milliseconds.
	ReplyDelayMS int `json:"late_ms"`
	// MismatchReplies answers a task with the answer of the task before it.
	MismatchReplies bool `json:"crossed"`
	// TruncateReplies cuts the answer in the middle.
	TruncateReplies bool `json:"truncate"`
	// DropReplies drops the reply of this many tasks after their end.
	DropReplies int `json:"lose_replies"`
	// AcceptWhileDraining lets the VM take work, and be listed as live, while it
	// drains.
	AcceptWhileDraining bool `json:"accept_draining"`
	// Failed removes the VM: its tasks end and it refuses connections.
	Failed bool `json:"gone"`
}
