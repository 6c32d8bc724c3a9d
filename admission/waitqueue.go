package admission

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// overShareInterval is the minimum time between two slots above the share.
const overShareInterval = 5 * time.Millisecond

// WaitQueue holds the requests of one entry that wait for slots of the same
// pools. While nobody waits, its methods take no lock.
type WaitQueue struct {
	cfg      Config
	waiting  atomic.Int64
	share    atomic.Pointer[EntryShare]
	runTimes atomic.Pointer[map[string]*RunTimes]
	// lastOverShareUS is when the entry last took a slot above its share, in
	// Unix microseconds.
	lastOverShareUS atomic.Int64

	mu    sync.Mutex
	teams map[string]*teamQueue
}

// NewWaitQueue returns an empty queue.
func NewWaitQueue(cfg Config) *WaitQueue {
	q := &WaitQueue{cfg: cfg, teams: make(map[string]*teamQueue)}
	q.share.Store(&EntryShare{})
	q.runTimes.Store(&map[string]*RunTimes{})
	return q
}

// Waiting returns the number of waiting requests.
func (q *WaitQueue) Waiting() int {
	return int(q.waiting.Load())
}

// SetEntryShare sets the share of this entry.
func (q *WaitQueue) SetEntryShare(p EntryShare) {
	p.smoothFrom(q.share.Load())
	q.share.Store(&p)
}

// RunTimes returns the run time estimates of the queue.
func (q *WaitQueue) RunTimes(now time.Time, queue string) *RunTimes {
	if r := (*q.runTimes.Load())[queue]; r != nil {
		return r
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	current := *q.runTimes.Load()
	if r := current[queue]; r != nil {
		return r
	}
	next := maps.Clone(current)
	next[queue] = NewRunTimes(now)
	q.runTimes.Store(&next)
	return next[queue]
}

// CanMeetDeadline reports whether a request that starts now meets its deadline,
// estimated by earlier requests of its queue.
func (q *WaitQueue) CanMeetDeadline(now time.Time, req Request) bool {
	left := req.Deadline.Sub(now)
	return left > 0 && left >= q.RunTimes(now, req.Queue).Quantile(now, q.cfg.RunTimeQuantile)
}

// MayBypass reports whether a request of the team may take a free slot without
// waiting: nobody waits here, and while other entries wait the team stays
// within this entry's share.
func (q *WaitQueue) MayBypass(team string) bool {
	if q.waiting.Load() > 0 {
		return false
	}
	p := q.share.Load()
	return !p.Contended || !p.OthersWaiting || float64(q.cfg.Running(team)) < p.teamSlots(team)
}

// MayTakeSlot reports whether this entry, which holds the given number of
// slots, may take another one. While other entries wait, an entry at its share
// takes one only each overShareInterval, so that the others come first and no
// slot stays idle when the shares are outdated.
func (q *WaitQueue) MayTakeSlot(now time.Time, slots int) bool {
	p := q.share.Load()
	if !p.Contended || !p.OthersWaiting || float64(slots) < p.TotalSlots() {
		return true
	}
	last := q.lastOverShareUS.Load()
	if now.UnixMicro()-last < overShareInterval.Microseconds() {
		return false
	}
	return q.lastOverShareUS.CompareAndSwap(last, now.UnixMicro())
}

// RunningTasks returns the number of tasks of the queue's teams that run here.
func (q *WaitQueue) RunningTasks() int {
	total := 0
	for team := range q.share.Load().Weights {
		total += q.cfg.Running(team)
	}
	return total
}

// OtherEntriesWaiting reports whether the slots are contended and requests wait
// at another entry.
func (q *WaitQueue) OtherEntriesWaiting() bool {
	p := q.share.Load()
	return p.Contended && p.OthersWaiting
}

// Enqueue adds the request to the queue, or returns why it is refused.
func (q *WaitQueue) Enqueue(now time.Time, req Request) (*Waiter, *Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.teamQueue(req.Team)
	wait := q.estimateWait(now, t, req)
	if len(t.waiters) >= q.cfg.MaxWaitingPerTeam {
		t.refused++
		return nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: wait}
	}
	late := !req.IgnoreMaxWait && wait > q.cfg.MaxWait
	if late || !q.meetsDeadline(now.Add(wait), req) {
		t.refused++
		return nil, &Refusal{Reason: ReasonTooLate, RetryAfter: wait}
	}
	w := &Waiter{Request: req, Ready: make(chan Decision, 1), enqueuedAt: now}
	t.waiters = append(t.waiters, w)
	q.waiting.Add(1)
	return w, nil
}

// meetsDeadline is CanMeetDeadline with q.mu held. It passes without estimates.
func (q *WaitQueue) meetsDeadline(now time.Time, req Request) bool {
	left := req.Deadline.Sub(now)
	r := (*q.runTimes.Load())[req.Queue]
	return left > 0 && (r == nil || left >= r.Quantile(now, q.cfg.RunTimeQuantile))
}

// estimateWait returns the expected wait at the end of the team's queue: the
// requests ahead and the request itself share the team's slots.
func (q *WaitQueue) estimateWait(now time.Time, t *teamQueue, req Request) time.Duration {
	r := (*q.runTimes.Load())[req.Queue]
	if r == nil {
		return 0
	}
	mean := r.Mean(now, q.cfg.RunTimeQuantile)
	return time.Duration(float64(len(t.waiters)+1) * float64(mean) / q.fairSlots(t))
}

// fairSlots returns the number of slots that the team gets here by its weight
// beside the other waiting teams.
func (q *WaitQueue) fairSlots(t *teamQueue) float64 {
	p := q.share.Load()
	runningTasks, weights := 0.0, max(p.Weights[t.name], minWeight)
	for name, other := range q.teams {
		runningTasks += float64(q.cfg.Running(name))
		if other != t && len(other.waiters) > 0 {
			weights += p.Weights[name]
		}
	}
	fair := runningTasks * max(p.Weights[t.name], minWeight) / weights
	return max(1, fair, p.teamSlots(t.name), float64(q.cfg.Running(t.name)))
}

// Cancel removes the waiter. It reports false if a decision was made before,
// which is then in Ready.
func (q *WaitQueue) Cancel(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.decided {
		return false
	}
	t := q.teamQueue(w.Team)
	t.refused++
	q.remove(t, w)
	return true
}

// remove removes the waiter from the queue. q.mu is held.
func (q *WaitQueue) remove(t *teamQueue, w *Waiter) {
	w.decided = true
	t.remove(w)
	q.waiting.Add(-1)
}

func (q *WaitQueue) teamQueue(name string) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{name: name}
		q.teams[name] = t
	}
	return t
}

// RunTimeQuantile returns the estimated run time of the queue's requests, or 0
// without observations.
func (q *WaitQueue) RunTimeQuantile(now time.Time, queue string) time.Duration {
	return q.RunTimes(now, queue).Quantile(now, q.cfg.RunTimeQuantile)
}

// MeanRunTime returns the mean of the queue's recent run times, or 0 without
// observations.
func (q *WaitQueue) MeanRunTime(now time.Time, queue string) time.Duration {
	return q.RunTimes(now, queue).Mean(now, q.cfg.RunTimeQuantile)
}

// ObservationCount returns the number of the queue's recent run times.
func (q *WaitQueue) ObservationCount(now time.Time, queue string) int64 {
	return q.RunTimes(now, queue).summarize(now, q.cfg.RunTimeQuantile).samples
}
