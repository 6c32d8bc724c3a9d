// Package periodic runs background work at a fixed interval.
package periodic

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls work once per interval of the clock until the context ends. A
// call that takes longer than the interval delays the next one; no two calls
// run at once.
func Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, work func(ctx context.Context)) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			work(ctx)
		}
	}
}
