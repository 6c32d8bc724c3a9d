package admission

import (
	"cmp"
	"slices"
	"time"
)

// Next removes and returns the waiter for a free slot: the first of the team
// that runs the least for its share. Waiters that can no longer meet their
// deadline are refused first. Take reports whether a waiter can use the slot;
// Next skips a team whose first waiters cannot, and returns nil if none can.
func (q *WaitQueue) Next(now time.Time, take func(*Waiter) bool) *Waiter {
	if q.waiting.Load() == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.teamsByUsage() {
		q.dropLateHeads(now, t)
		for _, w := range t.waiters[:min(len(t.waiters), maxCandidatesPerTeam)] {
			if take(w) {
				q.remove(t, w)
				return w
			}
		}
	}
	return nil
}

// maxCandidatesPerTeam bounds the waiters of one team tried for one slot.
const maxCandidatesPerTeam = 4

// teamsByUsage returns the waiting teams, ordered by running tasks relative to
// the team's share at this entry: its weight times its load fraction. The
// fraction dates from the last heartbeats, but the running tasks are exact and
// the size of the demand is not needed, so a jump in demand is served at once.
func (q *WaitQueue) teamsByUsage() []*teamQueue {
	p := q.share.Load()
	usage := make(map[*teamQueue]float64)
	var out []*teamQueue
	for _, t := range q.teams {
		if len(t.waiters) == 0 {
			continue
		}
		share := p.Weights[t.name] * p.LoadFractions[t.name]
		usage[t] = (float64(q.cfg.Running(t.name)) + halfSlot) / max(share, minWeight)
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *teamQueue) int {
		return cmp.Or(cmp.Compare(usage[a], usage[b]), a.waiters[0].enqueuedAt.Compare(b.waiters[0].enqueuedAt), cmp.Compare(a.name, b.name))
	})
	return out
}

// halfSlot is added to a team's running tasks before the comparison, as in the
// Sainte-Laguë method: adding a whole slot favours teams with a large share,
// and adding none those with a small one.
const halfSlot = 0.5

// minWeight replaces a weight of zero.
const minWeight = 1e-6

// dropLateHeads refuses waiters from the head of the team's queue up to the
// first that can still meet its deadline.
func (q *WaitQueue) dropLateHeads(now time.Time, t *teamQueue) {
	for len(t.waiters) > 0 && q.isLate(now, t.waiters[0]) {
		q.refuse(now, t, t.waiters[0])
	}
}

// isLate reports whether the waiter cannot meet its deadline or has exceeded
// the maximum wait.
func (q *WaitQueue) isLate(now time.Time, w *Waiter) bool {
	tooLong := !w.IgnoreMaxWait && now.Sub(w.enqueuedAt) > q.cfg.MaxWait
	return tooLong || !q.meetsDeadline(now, w.Request)
}

// refuse ends the wait without a slot.
func (q *WaitQueue) refuse(now time.Time, t *teamQueue, w *Waiter) {
	t.refused++
	q.remove(t, w)
	w.Ready <- Decision{Refusal: Refusal{Reason: ReasonTooLate, RetryAfter: q.estimateWait(now, t, w.Request)}}
}

// DropLate refuses the waiters of all teams that are too late.
func (q *WaitQueue) DropLate(now time.Time) {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.teams {
		for _, w := range slices.Clone(t.waiters) {
			if q.isLate(now, w) {
				q.refuse(now, t, w)
			}
		}
	}
}
