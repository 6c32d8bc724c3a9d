package logstream

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Config configures a Stream. All fields but AppendLimiter, HasPriority and
// LoadSnapshot are required; DefaultLimits returns the limits.
type Config struct {
	// Name is the stream's name in the log.
	Name string
	// Writer is the incarnation under which records are written.
	Writer string
	Log    provider.Log
	Clock  clockwork.Clock
	Logger hclog.Logger
	Limits Limits
	// AppendLimiter bounds the rate of appends; nil means no bound.
	AppendLimiter *AppendLimiter
	// HasPriority reports which commands may use the append limiter's reserve.
	HasPriority func(statemachine.Command) bool
	// LoadSnapshot returns the latest snapshot of the stream. If nil, the stream
	// starts at its first record.
	LoadSnapshot func(ctx context.Context) (Snapshot, error)
}

// Limits bounds the batches, the queue and the waits of a Stream.
type Limits struct {
	// MaxBatchRecords flushes a batch at this number of records.
	MaxBatchRecords int
	// MaxBatchBytes flushes a batch at this size of encoded commands.
	MaxBatchBytes int
	// MaxBatchAge flushes a batch at this age of its first record.
	MaxBatchAge time.Duration
	// MaxQueued rejects proposals beyond this number of queued ones.
	MaxQueued int
	// ReadWait is the longest wait for new records in one read.
	ReadWait time.Duration
	// ReadTimeout bounds one read beyond its wait.
	ReadTimeout time.Duration
	// ReadLimit is the number of payloads in one read.
	ReadLimit int
	// RetryDelay is the minimum delay after a failed call to the log.
	RetryDelay time.Duration
	// MaxRetryDelay is the maximum delay after consecutive failures, if it is
	// longer than RetryDelay.
	MaxRetryDelay time.Duration
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
}

// DefaultLimits returns the limits for a log on the same network.
func DefaultLimits() Limits {
	return Limits{
		MaxBatchRecords: 32,
		MaxBatchBytes:   256 << 10,
		MaxBatchAge:     4 * time.Millisecond,
		MaxQueued:       4096,
		ReadWait:        500 * time.Millisecond,
		ReadTimeout:     time.Second,
		ReadLimit:       512,
		RetryDelay:      50 * time.Millisecond,
		MaxRetryDelay:   400 * time.Millisecond,
		AppendTimeout:   2 * time.Second,
	}
}
