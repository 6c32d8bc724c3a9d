package job

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Runner accepts jobs and executes those that its entry owns.
type Runner struct {
	cfg      Config
	limiter  teamLimiter
	stopping atomic.Bool
	// placementCtx is cancelled once the entry stops and its jobs acquire no
	// more slots.
	placementCtx    context.Context
	cancelPlacement context.CancelFunc

	mu     sync.Mutex
	active map[string]*execution
	// queuedAt is since when each of the entry's queued jobs is known to wait.
	queuedAt map[string]time.Time
	wg       sync.WaitGroup
}

// New returns a runner that Run starts.
func New(cfg Config) *Runner {
	r := &Runner{cfg: cfg, active: make(map[string]*execution)}
	r.placementCtx, r.cancelPlacement = context.WithCancel(context.Background())
	return r
}

// Run executes the entry's jobs and takes over those whose owner has failed,
// until the context ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.wg.Wait()
	periodic.Run(ctx, r.cfg.Clock, scanInterval, r.scan)
}

// ActiveJobs returns the number of jobs that the entry is executing.
func (r *Runner) ActiveJobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}

// scan reads the unfinished jobs: it starts to execute own ones, fairly across
// the teams, and takes over others whose owner has failed.
func (r *Runner) scan(ctx context.Context) {
	shards := r.cfg.Shards()
	if shards == nil || r.stopping.Load() {
		return
	}
	live := newLiveEntries(r.cfg.Incarnation, r.cfg.Peers())
	waiting := newFairQueue(r.activeByTeam())
	var own []*statemachine.Job
	for _, stream := range shards.Streams() {
		state := stream.State()
		for id := range state.UnfinishedJobs.All() {
			job, ok := state.Jobs.Get(id)
			if !ok {
				continue
			}
			if job.Owner == r.cfg.Incarnation {
				own = append(own, job)
				waiting.add(job.Team, jobRef{stream: stream, id: id})
				continue
			}
			if !live.contains(job.Owner) && live.successor(id) == r.cfg.Incarnation {
				r.takeOver(ctx, stream, job)
			}
		}
	}
	r.updateQueuedAt(own)
	for r.ActiveJobs() < maxActiveJobs {
		next, ok := waiting.next()
		if !ok {
			return
		}
		r.startExecution(ctx, next)
	}
}

// jobRef refers to a job that the entry owns.
type jobRef struct {
	stream *logstream.WatchedStream
	id     string
}

func (r *Runner) activeByTeam() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int)
	for _, e := range r.active {
		counts[e.team]++
	}
	return counts
}

// startExecution executes the job in the background, unless it is active
// already.
func (r *Runner) startExecution(ctx context.Context, ref jobRef) {
	current, ok := ref.stream.State().Jobs.Get(ref.id)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.active[ref.id]; ok {
		return
	}
	e := &execution{runner: r, stream: ref.stream, id: ref.id, team: current.Team, atMostOnce: !current.Idempotent, queuedAt: r.queuedAt[ref.id]}
	r.active[ref.id] = e
	r.wg.Go(func() {
		defer r.removeActive(ref.id)
		e.execute(ctx)
	})
}

func (r *Runner) removeActive(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, id)
}

// takeOver makes this entry the owner of the job. If several entries try, the
// log accepts one of them.
func (r *Runner) takeOver(ctx context.Context, stream *logstream.WatchedStream, job *statemachine.Job) {
	key := "take/" + job.ID
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.active[key]; ok || len(r.active) >= maxActiveJobs {
		return
	}
	r.active[key] = &execution{team: job.Team}
	r.wg.Go(func() {
		defer r.removeActive(key)
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		_, _ = stream.Propose(ctx, &statemachine.JobTakeover{ID: job.ID, Epoch: job.Epoch})
	})
}
