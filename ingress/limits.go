package ingress

import (
	"math"
	"syscall"
	"time"
)

// Limits are what clients may take of a process.
type Limits struct {
	// HeldBytes bounds the bytes held for requests: bodies and long headers, and long
	// responses that wait for their reader.
	HeldBytes int64
	// Connections bounds the open connections.
	Connections int
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int
	// Stall is how long a request may stand still while its body is sent, or its response
	// while it is written.
	Stall time.Duration
	// HeaderTimeout bounds the read of a header, IdleTimeout the time between two requests
	// on a connection; 0 for no bound.
	HeaderTimeout, IdleTimeout time.Duration
}

// Descriptors returns how many descriptors the process may open: the configured number, or
// less where the process's own limit is lower. 0 stands for no configured number.
func Descriptors(configured int64) int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		// The process has no limit of its own that could be met.
		limit.Cur = math.MaxInt32
	}
	if configured <= 0 {
		return int64(limit.Cur)
	}
	return min(configured, int64(limit.Cur))
}
