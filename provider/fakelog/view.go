package fakelog

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

// view is the log as one client sees it.
type view struct {
	log    *Log
	client string
}

// Append implements provider.Log.
func (v *view) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	return v.log.append(ctx, v.client, stream, payloads)
}

// Read implements provider.Log.
func (v *view) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (provider.Page, error) {
	return v.log.read(ctx, v.client, stream, from, limit, wait)
}
