package placement

import (
	"context"

	"github.com/anvilcourse/anvilcourse/periodic"
)

// Run returns leases that stay unused, until the context ends.
func (p *Placer) Run(ctx context.Context) {
	periodic.Run(ctx, p.clock, maxLeaseIdle/2, p.returnIdleLeases)
}

// returnIdleLeases releases the leases that are idle for longer than
// maxLeaseIdle. The others go back to their stack.
func (p *Placer) returnIdleLeases(ctx context.Context) {
	now := p.clock.Now()
	for _, pool := range p.view.Load().pools {
		for _, slot := range pool.idle.takeAll() {
			if !slot.valid(now) {
				continue
			}
			if now.Sub(slot.RequestedAt) < maxLeaseIdle {
				pool.idle.push(slot)
				continue
			}
			ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
			_ = p.workers.ReleaseSlot(ctx, slot.Target.Address, slot.LeaseID)
			cancel()
		}
	}
}
