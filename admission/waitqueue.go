package admission

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// overShareInterval is the least time between two slots beyond the entry's part.
const overShareInterval = 5 * time.Millisecond

// WaitQueue is where the requests of one entry wait for slots of the same pools.
// While nobody waits, its methods take no lock.
type WaitQueue struct {
	cfg      Config
	waiting  atomic.Int64
	share    atomic.Pointer[EntryShare]
	runTimes atomic.Pointer[map[string]*RunTimes]
	// lastOverShareUS is when the entry last took a slot beyond its part, in Unix
	// microseconds.
	lastOverShareUS atomic.Int64

	mu    sync.Mutex
	teams map[string]*teamQueue
}

// NewWaitQueue returns a line in which nobody waits.
func NewWaitQueue(cfg Config) *WaitQueue {
	l := &WaitQueue{cfg: cfg, teams: make(map[string]*teamQueue)}
	l.share.Store(&EntryShare{})
	l.runTimes.Store(&map[string]*RunTimes{})
	return l
}

// Waiting returns the number of requests that wait.
func (l *WaitQueue) Waiting() int {
	return int(l.waiting.Load())
}

// SetEntryShare changes what this entry may use.
func (l *WaitQueue) SetEntryShare(p EntryShare) {
	p.smoothFrom(l.share.Load())
	l.share.Store(&p)
}

// RunTimes returns the estimates of the queue.
func (l *WaitQueue) RunTimes(now time.Time, queue string) *RunTimes {
	if r := (*l.runTimes.Load())[queue]; r != nil {
		return r
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	current := *l.runTimes.Load()
	if r := current[queue]; r != nil {
		return r
	}
	next := maps.Clone(current)
	next[queue] = NewRunTimes(now)
	l.runTimes.Store(&next)
	return next[queue]
}

// CanMeetDeadline reports whether a request that starts now is answered in time, as far
// as earlier requests of its queue tell.
func (l *WaitQueue) CanMeetDeadline(now time.Time, req Request) bool {
	left := req.Deadline.Sub(now)
	return left > 0 && left >= l.RunTimes(now, req.Queue).Quantile(now, l.cfg.RunTimeQuantile)
}

// MayBypass reports whether a request of the team may take a free slot without
// waiting: nobody waits here, and while other entries wait the team keeps to
// its part.
func (l *WaitQueue) MayBypass(team string) bool {
	if l.waiting.Load() > 0 {
		return false
	}
	p := l.share.Load()
	return !p.Contended || !p.OthersWaiting || float64(l.cfg.Running(team)) < p.teamSlots(team)
}

// MayTakeSlot reports whether this entry may take another slot of those that all
// entries share. Slots says how many it holds. While other entries wait, an
// entry that holds its part takes one more only each overInterval, so that the
// others come first and no slot stays idle when the parts are out of date.
func (l *WaitQueue) MayTakeSlot(now time.Time, slots int) bool {
	p := l.share.Load()
	if !p.Contended || !p.OthersWaiting || float64(slots) < p.TotalSlots() {
		return true
	}
	last := l.lastOverShareUS.Load()
	if now.UnixMicro()-last < overShareInterval.Microseconds() {
		return false
	}
	return l.lastOverShareUS.CompareAndSwap(last, now.UnixMicro())
}

// RunningTasks returns the number of tasks that run here for the teams of the line.
func (l *WaitQueue) RunningTasks() int {
	total := 0
	for team := range l.share.Load().Weights {
		total += l.cfg.Running(team)
	}
	return total
}

// OtherEntriesWaiting reports whether the slots are contended and another entry has
// requests that wait.
func (l *WaitQueue) OtherEntriesWaiting() bool {
	p := l.share.Load()
	return p.Contended && p.OthersWaiting
}

// Enqueue makes the request wait, or says why it is refused.
func (l *WaitQueue) Enqueue(now time.Time, req Request) (*Waiter, *Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teamQueue(req.Team)
	wait := l.estimateWait(now, t, req)
	if len(t.waiters) >= l.cfg.MaxWaitingPerTeam {
		t.refused++
		return nil, &Refusal{Reason: ReasonQueueFull, RetryAfter: wait}
	}
	late := !req.IgnoreMaxWait && wait > l.cfg.MaxWait
	if late || !l.meetsDeadline(now.Add(wait), req) {
		t.refused++
		return nil, &Refusal{Reason: ReasonTooLate, RetryAfter: wait}
	}
	w := &Waiter{Request: req, Ready: make(chan Decision, 1), enqueuedAt: now}
	t.waiters = append(t.waiters, w)
	l.waiting.Add(1)
	return w, nil
}

// meetsDeadline is InTime under the lock: a queue without estimates passes.
func (l *WaitQueue) meetsDeadline(now time.Time, req Request) bool {
	left := req.Deadline.Sub(now)
	r := (*l.runTimes.Load())[req.Queue]
	return left > 0 && (r == nil || left >= r.Quantile(now, l.cfg.RunTimeQuantile))
}

// estimateWait is the expected wait at the end of the team's line: those ahead and
// the request itself share the slots that the team gets here.
func (l *WaitQueue) estimateWait(now time.Time, t *teamQueue, req Request) time.Duration {
	r := (*l.runTimes.Load())[req.Queue]
	if r == nil {
		return 0
	}
	mean := r.Mean(now, l.cfg.RunTimeQuantile)
	return time.Duration(float64(len(t.waiters)+1) * float64(mean) / l.fairSlots(t))
}

// fairSlots is the number of slots that the team gets here once it is served
// by weight beside the teams that wait now.
func (l *WaitQueue) fairSlots(t *teamQueue) float64 {
	p := l.share.Load()
	held, weights := 0.0, max(p.Weights[t.name], minWeight)
	for name, other := range l.teams {
		held += float64(l.cfg.Running(name))
		if other != t && len(other.waiters) > 0 {
			weights += p.Weights[name]
		}
	}
	fair := held * max(p.Weights[t.name], minWeight) / weights
	return max(1, fair, p.teamSlots(t.name), float64(l.cfg.Running(t.name)))
}

// Cancel ends a wait from the waiter's side. It reports false if a decision was
// made before, which is then in Ready.
func (l *WaitQueue) Cancel(w *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.decided {
		return false
	}
	t := l.teamQueue(w.Team)
	t.refused++
	l.remove(t, w)
	return true
}

// remove takes the waiter out. l.mu is held.
func (l *WaitQueue) remove(t *teamQueue, w *Waiter) {
	w.decided = true
	t.remove(w)
	l.waiting.Add(-1)
}

func (l *WaitQueue) teamQueue(name string) *teamQueue {
	t := l.teams[name]
	if t == nil {
		t = &teamQueue{name: name}
		l.teams[name] = t
	}
	return t
}

// RunTimeQuantile returns the run time that starts of the queue are judged by, or 0
// without observations.
func (l *WaitQueue) RunTimeQuantile(now time.Time, queue string) time.Duration {
	return l.RunTimes(now, queue).Quantile(now, l.cfg.RunTimeQuantile)
}

// MeanRunTime returns the mean of the queue's latest run times, or 0 without
// observations.
func (l *WaitQueue) MeanRunTime(now time.Time, queue string) time.Duration {
	return l.RunTimes(now, queue).Mean(now, l.cfg.RunTimeQuantile)
}

// ObservationCount returns the number of the queue's latest run times.
func (l *WaitQueue) ObservationCount(now time.Time, queue string) int64 {
	return l.RunTimes(now, queue).summarize(now, l.cfg.RunTimeQuantile).samples
}
