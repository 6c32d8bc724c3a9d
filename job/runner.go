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

// Runner accepts jobs and carries out those that its entry owns.
type Runner struct {
	cfg      Config
	gates    teamGates
	stopping atomic.Bool
	// placing ends once the entry stops and its jobs seek no more slots.
	placing     context.Context
	stopPlacing context.CancelFunc

	mu     sync.Mutex
	active map[string]*run
	// queuedAt is since when the entry's queued jobs are known to wait.
	queuedAt map[string]time.Time
	wg       sync.WaitGroup
}

// New returns a runner. Run starts it.
func New(cfg Config) *Runner {
	r := &Runner{cfg: cfg, active: make(map[string]*run)}
	r.placing, r.stopPlacing = context.WithCancel(context.Background())
	return r
}

// Run carries out the entry's jobs and takes over those whose owner is gone,
// until the context ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.wg.Wait()
	periodic.Run(ctx, r.cfg.Clock, scanInterval, r.scan)
}

// ActiveJobs returns the number of jobs that the entry carries out now.
func (r *Runner) ActiveJobs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}

// scan looks at the open jobs: it begins to carry out own ones, fairly over
// the teams, and takes over others whose owner is gone.
func (r *Runner) scan(ctx context.Context) {
	shards := r.cfg.Shards()
	if shards == nil || r.stopping.Load() {
		return
	}
	members := newElectorate(r.cfg.Incarnation, r.cfg.Peers())
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
				waiting.add(job.Team, openJob{stream: stream, id: id})
				continue
			}
			if !members.has(job.Owner) && members.successor(id) == r.cfg.Incarnation {
				r.take(ctx, stream, job)
			}
		}
	}
	r.noteQueued(own)
	for r.ActiveJobs() < maxActive {
		next, ok := waiting.next()
		if !ok {
			return
		}
		r.begin(ctx, next)
	}
}

// openJob is a job that the entry owns.
type openJob struct {
	stream *logstream.WatchedStream
	id     string
}

func (r *Runner) activeByTeam() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int)
	for _, a := range r.active {
		out[a.team]++
	}
	return out
}

// begin carries the job out, unless that is under way already.
func (r *Runner) begin(ctx context.Context, next openJob) {
	current, ok := next.stream.State().Jobs.Get(next.id)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.active[next.id]; ok {
		return
	}
	a := &run{r: r, stream: next.stream, id: next.id, team: current.Team, once: !current.Idempotent, queuedAt: r.queuedAt[next.id]}
	r.active[next.id] = a
	r.wg.Go(func() {
		defer r.finished(next.id)
		a.carryOut(ctx)
	})
}

func (r *Runner) finished(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, id)
}

// take makes this entry the owner of the job. Of several takers the log lets
// one win.
func (r *Runner) take(ctx context.Context, stream *logstream.WatchedStream, job *statemachine.Job) {
	key := "take/" + job.ID
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.active[key]; ok || len(r.active) >= maxActive {
		return
	}
	r.active[key] = &run{team: job.Team}
	r.wg.Go(func() {
		defer r.finished(key)
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		_, _ = stream.Propose(ctx, &statemachine.JobTakeover{ID: job.ID, Epoch: job.Epoch})
	})
}
