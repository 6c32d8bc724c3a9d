package placement

import (
	"context"

	"github.com/anvilcourse/anvilcourse/periodic"
)

// Run gives leases back that stay unused, until the context ends.
func (p *Placer) Run(ctx context.Context) {
	periodic.Run(ctx, p.clock, maxLeaseIdle/2, p.returnIdleLeases)
}

// returnIdleLeases releases the idle leases that are older than idleFor. The others
// go back on their stack.
func (p *Placer) returnIdleLeases(ctx context.Context) {
	now := p.clock.Now()
	for _, pool := range p.view.Load().pools {
		for _, held := range pool.idle.takeAll() {
			if !held.valid(now) {
				continue
			}
			if now.Sub(held.RequestedAt) < maxLeaseIdle {
				pool.idle.push(held)
				continue
			}
			ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
			_ = p.workers.ReleaseSlot(ctx, held.Target.Address, held.LeaseID)
			cancel()
		}
	}
}
