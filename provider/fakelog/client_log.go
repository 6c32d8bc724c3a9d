package fakelog

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// clientLog is the log as used by one client.
type clientLog struct {
	log    *Log
	client string
}

// Append implements provider.Log.
func (v *clientLog) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	return v.log.append(ctx, v.client, stream, payloads)
}

// Read implements provider.Log.
func (v *clientLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	return v.log.read(ctx, v.client, stream, from, limit, wait)
}
