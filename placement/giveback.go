package placement

import (
	"context"

	"github.com/anvilcourse/anvilcourse/periodic"
)

// Run gives leases back that stay unused, until the context ends.
func (p *Placer) Run(ctx context.Context) {
	periodic.Run(ctx, p.clock, idleFor/2, p.giveBack)
}

// giveBack releases the idle leases that are older than idleFor. The others
// go back on their stack.
func (p *Placer) giveBack(ctx context.Context) {
	now := p.clock.Now()
	for _, pool := range p.view.Load().pools {
		for _, held := range pool.idle.takeAll() {
			if !held.valid(now) {
				continue
			}
			if now.Sub(held.RequestedAt) < idleFor {
				pool.idle.push(held)
				continue
			}
			ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
			_ = p.workers.ReleaseSlot(ctx, held.Target.Address, held.LeaseID)
			cancel()
		}
	}
}
