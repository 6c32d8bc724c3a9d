package provider

import (
	"context"
	"time"
)

// Log is the platform's append-only log. It stores each stream in one total
// order with limited retention, and has no conditional append.
type Log interface {
	// Append adds payloads to the end of the stream as one append and returns
	// the offset of the first. With outcome Unknown the payloads may be in the
	// stream, now or later.
	Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error)
	// Read returns up to limit payloads from the offset on. At the end of the
	// stream it waits up to wait for the next append and then returns an empty
	// page. An offset before the oldest retained one fails with CodeTrimmed.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// Page is a run of payloads read from a stream.
type Page struct {
	// Identity is the stream's identity. It changes if the stream is recreated.
	Identity string `json:"stream"`
	// From is the offset of the first payload.
	From uint64 `json:"from"`
	// Payloads are the payloads at From, From+1 and so on.
	Payloads [][]byte `json:"payloads"`
	// OldestOffset is the oldest offset that the log retains.
	OldestOffset uint64 `json:"oldest"`
	// NextOffset is the offset that the next append gets.
	NextOffset uint64 `json:"next"`
}
