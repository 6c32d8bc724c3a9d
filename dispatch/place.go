package dispatch

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/placement"
)

// slotPoll is the pause between two searches for a slot.
const slotPoll = 5 * time.Millisecond

// place takes a slot and then a unit of the team's allotment, in this order:
// a lease that was taken before the check has lapsed by the time at which a
// holder that was paused after the check sends the start.
func (d *Dispatcher) place(ctx context.Context, grant *Grant, avoid string) (*placement.Held, Outcome) {
	for {
		held, err := d.cfg.Slots.Acquire(ctx, grant.Template.Pools, avoid)
		if err == nil {
			if holder, ok := d.cfg.Allotment.Acquire(grant.Workspace.Team); ok {
				held.Holder = holder
				return held, Outcome{}
			}
			d.cfg.Slots.Release(held)
		}
		if !d.wait(ctx) {
			if err == nil {
				return nil, notRun(CodeTeamLimit, "team "+grant.Workspace.Team+" is at its upper limit", busyRetryAfter)
			}
			return nil, notRun(CodeNoCapacity, "no target has a free slot", busyRetryAfter)
		}
	}
}

// wait pauses before the next search and reports whether there is time for it.
func (d *Dispatcher) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.cfg.Clock.After(slotPoll):
		return true
	}
}
