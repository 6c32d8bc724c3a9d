package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// firstPoll and maxPoll bound the growing interval between two looks at a
	// job.
	firstPoll = 100 * time.Millisecond
	maxPoll   = 2 * time.Second
	// jobCallTimeout bounds one call about a job.
	jobCallTimeout = 10 * time.Second
	// openJob is the outcome of an accepted job whose end was not seen.
	openJob = "open"
)

// job is one submitted job.
type job struct {
	team  *team
	class Class
	queue string
	key   string
	body  []byte
	work  time.Duration
	// cancel tells whether the job is cancelled, and cancelAt when, as the time
	// since the start of the load.
	cancel   bool
	cancelAt time.Duration
	// via is the index of the entry through which the job is watched. A call
	// that fails moves it on to the next.
	via  int
	sent time.Time
}

// sendJob returns what submits a team's next job and watches it to its end.
func (r *runner) sendJob(ctx context.Context, t *team) func(*rand.Rand, int64) {
	return func(rng *rand.Rand, number int64) {
		j := &job{team: t, class: ClassJob, queue: t.job, key: uuid.Must(uuid.NewV7()).String()}
		once := rng.Float64() < r.cfg.AtMostOnceFraction
		if t.jobOnce != "" && (once || t.job == "") {
			j.class, j.queue = ClassJobAtMostOnce, t.jobOnce
		}
		j.work = runTime(rng, r.cfg.MeanJobRunTime).Round(time.Millisecond)
		j.body = bodyOf(j.queue, number, j.work)
		j.cancel = rng.Float64() < r.cfg.CancelFraction
		j.cancelAt = r.cancelTime(time.Since(r.start) + time.Duration(rng.Float64()*float64(j.work)))
		entry := r.entry(rng)
		j.via = rng.IntN(len(r.entries))
		r.calls.Go(func() { r.runJob(ctx, j, entry) })
	}
}

// cancelTime moves the time of a cancellation to the next common one.
func (r *runner) cancelTime(due time.Duration) time.Duration {
	every := r.cfg.CancelInterval
	if every <= 0 {
		return due
	}
	return (due + every - 1) / every * every
}

// task is the ID of the job, which is that of its task too.
func (j *job) task() string {
	return "job-" + statemachine.OrderID(j.team.name, j.key)
}

func (j *job) once() bool {
	return j.class == ClassJobAtMostOnce
}

// runJob submits the job and counts its end.
func (r *runner) runJob(ctx context.Context, j *job, entry string) {
	j.sent = time.Now()
	tally := r.classes[j.class]
	tally.begin()
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), jobCallTimeout)
	defer cancel()
	accepted, err := r.client(entry, j).SubmitJob(callCtx, j.queue, j.body, j.key)
	if err != nil {
		outcome := outcomeOf(err)
		r.fates.told(j.task(), j.once(), outcome)
		tally.end(outcome, 0, false)
		return
	}
	r.countAccepted()
	j.team.sent(j.sent.Sub(r.start), j.work)
	defer r.openJobs.Add(-1)
	seen := r.watch(ctx, j, accepted)
	took := time.Since(j.sent)
	outcome := openJob
	if seen.State.Finished() {
		outcome = string(seen.State)
	}
	r.judgeJob(ctx, j, seen, outcome)
	tally.end(outcome, took, seen.State == statemachine.JobDone)
}

func (r *runner) client(entry string, j *job) *api.Client {
	return api.NewClient(entry, j.team.key, r.cfg.HTTP)
}

func (r *runner) countAccepted() {
	r.openJobs.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
}

// watch looks at the job until it has ended, the wait is over or the context
// ends, cancels it in between if it is to be, and returns it as last seen.
func (r *runner) watch(ctx context.Context, j *job, seen api.Job) api.Job {
	ctx, cancel := context.WithDeadline(ctx, j.sent.Add(r.cfg.JobTimeout))
	defer cancel()
	asked := !j.cancel
	for pause := firstPoll; ; pause = min(maxPoll, pause*3/2) {
		if !asked {
			pause = min(pause, max(0, j.cancelAt-time.Since(r.start)))
		}
		select {
		case <-ctx.Done():
			return seen
		case <-time.After(pause):
		}
		if !asked && time.Since(r.start) >= j.cancelAt {
			asked = r.cancel(ctx, j, seen.ID)
			pause = firstPoll
		}
		if now, err := r.watcher(j).GetJob(ctx, seen.ID); err == nil {
			seen = now
		} else {
			j.via++
		}
		if seen.State.Finished() {
			return seen
		}
		pause = max(pause, firstPoll)
	}
}

// watcher is a client of the entry through which the job is watched now.
func (r *runner) watcher(j *job) *api.Client {
	return r.client(r.entries[j.via%len(r.entries)], j)
}

// cancel cancels the job and reports whether an entry has answered, be it that
// the job has ended.
func (r *runner) cancel(ctx context.Context, j *job, id string) bool {
	err := r.watcher(j).CancelJob(ctx, id)
	if outcomeOf(err) == unknown {
		j.via++
		return false
	}
	r.classes[j.class].cancel()
	return true
}

// judgeJob holds the end of an accepted job against what was promised.
func (r *runner) judgeJob(ctx context.Context, j *job, seen api.Job, outcome string) {
	told := unknown
	if seen.State == statemachine.JobDone {
		told = answered
		j.team.usedBy(time.Since(r.start), j.work)
	}
	r.fates.told(j.task(), j.once(), told)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, whole := answerOf(j.body, seen.Answer); seen.State == statemachine.JobDone && !whole {
		r.wrongJobs++
	}
	fault := j.fault(seen)
	if outcome == openJob && ctx.Err() != nil {
		fault = ""
	}
	if fault == "" {
		return
	}
	r.brokenJobs++
	if r.brokenJob == "" {
		r.brokenJob = seen.ID + " " + fault
	}
}

// fault says how the end of the job breaks the promise, or "".
func (j *job) fault(seen api.Job) string {
	switch {
	case !seen.State.Finished():
		return "has not ended within the wait; its state is " + string(seen.State)
	case seen.State == statemachine.JobDone:
		return ""
	case seen.State == statemachine.JobCancelled && !j.cancel:
		return "is cancelled, and nobody cancelled it"
	case seen.Message == "":
		return "ended as " + string(seen.State) + " without a reason"
	default:
		return ""
	}
}
