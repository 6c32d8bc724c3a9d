package dispatch

import (
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ExchangeLoads recomputes this entry's share of each wait queue's pools from
// its own loads and those of the other entries, and returns its own. It must be
// called once per interval. Capacity returns the slots of a set of pools.
func (d *Dispatcher) ExchangeLoads(interval time.Duration, others [][]admission.Load, capacity func(pools []string) int) []admission.Load {
	now := d.cfg.Clock.Now()
	state := d.cfg.Control.State()
	d.addWaitQueues(state)
	var out []admission.Load
	for _, q := range d.waitQueues.all() {
		teams := q.teams(state)
		for _, t := range teams {
			q.TrackTeam(t.Team)
		}
		loads := q.Loads(now, interval)
		q.SetEntryShare(admission.ComputeEntryShare(float64(capacity(q.pools)), teams, loads, others))
		out = append(out, loads...)
	}
	return out
}

// addWaitQueues creates the wait queues of the state's templates.
func (d *Dispatcher) addWaitQueues(state *statemachine.State) {
	for _, t := range state.Templates.All() {
		d.waitQueues.forTemplate(t)
	}
}

// Waiting returns the number of requests that wait for a slot.
func (d *Dispatcher) Waiting() int {
	total := 0
	for _, q := range d.waitQueues.all() {
		total += q.Waiting()
	}
	return total
}
