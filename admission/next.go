package admission

import (
	"cmp"
	"slices"
	"time"
)

// Next takes out the waiter that a free slot is for. The first team is the one
// that runs the least for its share, and within a team the one that came first. Waiters whose callers can no longer be answered in time are
// refused on the way. Take is asked whether a waiter can use the slot; Next
// passes over a team whose first waiters cannot, and returns nil if none can.
func (l *WaitQueue) Next(now time.Time, take func(*Waiter) bool) *Waiter {
	if l.waiting.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.teamsByUsage() {
		l.dropLateHeads(now, t)
		for _, w := range t.waiters[:min(len(t.waiters), maxCandidatesPerTeam)] {
			if take(w) {
				l.remove(t, w)
				return w
			}
		}
	}
	return nil
}

// maxCandidatesPerTeam bounds the waiters of one team that are asked for one slot.
const maxCandidatesPerTeam = 4

// teamsByUsage returns the teams that wait, the one that runs the least for its share
// first. A team's share is that of this entry: its weight by the portion of its
// load that is here. The portion is as of the last heartbeats, but what runs is
// exact and the size of the demand is not needed, so a team whose demand has
// just jumped is served at once.
func (l *WaitQueue) teamsByUsage() []*teamQueue {
	p := l.share.Load()
	level := make(map[*teamQueue]float64)
	var out []*teamQueue
	for _, t := range l.teams {
		if len(t.waiters) == 0 {
			continue
		}
		share := p.Weights[t.name] * p.LoadFractions[t.name]
		level[t] = (float64(l.cfg.Running(t.name)) + halfSlot) / max(share, minWeight)
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *teamQueue) int {
		return cmp.Or(cmp.Compare(level[a], level[b]), a.waiters[0].enqueuedAt.Compare(b.waiters[0].enqueuedAt), cmp.Compare(a.name, b.name))
	})
	return out
}

// halfSlot is added to what a team runs before teams are compared, as in the
// Sainte-Laguë method: adding a whole slot favours teams with a large share,
// and adding none those with a small one.
const halfSlot = 0.5

// minWeight stands for the weight of a team that has none.
const minWeight = 1e-6

// dropLateHeads refuses waiters from the head of the team's line until one can
// still be answered in time.
func (l *WaitQueue) dropLateHeads(now time.Time, t *teamQueue) {
	for len(t.waiters) > 0 && l.isLate(now, t.waiters[0]) {
		l.refuse(now, t, t.waiters[0])
	}
}

// isLate reports whether the waiter would be answered too late or has waited for
// too long.
func (l *WaitQueue) isLate(now time.Time, w *Waiter) bool {
	tooLong := !w.IgnoreMaxWait && now.Sub(w.enqueuedAt) > l.cfg.MaxWait
	return tooLong || !l.meetsDeadline(now, w.Request)
}

// refuse ends the wait without a slot.
func (l *WaitQueue) refuse(now time.Time, t *teamQueue, w *Waiter) {
	t.refused++
	l.remove(t, w)
	w.Ready <- Decision{Refusal: Refusal{Reason: ReasonTooLate, RetryAfter: l.estimateWait(now, t, w.Request)}}
}

// DropLate refuses the waiters of all teams that would be answered too late.
func (l *WaitQueue) DropLate(now time.Time) {
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.teams {
		for _, w := range slices.Clone(t.waiters) {
			if l.isLate(now, w) {
				l.refuse(now, t, w)
			}
		}
	}
}
