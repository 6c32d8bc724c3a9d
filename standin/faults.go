package standin

// LogFaults are the switches of the log.
type LogFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// SlowMS delays every reply, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseReplies drops the reply of this many appends after the write.
	LoseReplies int `json:"lose_replies"`
	// LoseAppends drops this many appends before the write, without a reply.
	LoseAppends int `json:"lose_appends"`
	// RateLimit refuses this many appends as over the rate limit.
	RateLimit int `json:"rate_limit"`
	// Cut lists the names of the clients that cannot reach the log.
	Cut []string `json:"cut"`
}

// VMFaults are the switches of one VM.
type VMFaults struct {
	// FailAll ends every started task in failure.
	FailAll bool `json:"fail_all"`
	// Frozen holds every reply until the switch is off.
	Frozen bool `json:"frozen"`
	// LateMS delays the reply of a task after its end, in milliseconds.
	LateMS int `json:"late_ms"`
	// Crossed answers a task with the answer of the task before it.
	Crossed bool `json:"crossed"`
	// Truncate cuts the answer in the middle.
	Truncate bool `json:"truncate"`
	// LoseReplies drops the reply of this many tasks after their end.
	LoseReplies int `json:"lose_replies"`
	// AcceptDraining lets the VM take work, and be listed as live, while it
	// drains.
	AcceptDraining bool `json:"accept_draining"`
	// Gone removes the VM: its tasks end and it refuses connections.
	Gone bool `json:"gone"`
}
