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
	// firstPoll and maxPoll bound the growing interval between two polls of a
	// job.
	firstPoll = 100 * time.Millisecond
	maxPoll   = 2 * time.Second
	// jobCallTimeout is the timeout of one API call for a job.
	jobCallTimeout = 10 * time.Second
	// unfinishedJob is the outcome of an accepted job not seen to finish.
	unfinishedJob = "open"
)

// job is one submitted job.
type job struct {
	team  *team
	class Class
	queue string
	key   string
	body  []byte
	work  time.Duration
	// cancel is set if the job is to be cancelled, cancelAt after the start of
	// the load.
	cancel   bool
	cancelAt time.Duration
	// entryIndex is that of the entry through which the job is polled. A failed
	// call advances it to the next.
	entryIndex int
	sent       time.Time
}

// jobSender returns a function that submits a team's next job and polls it
// until it has finished.
func (r *runner) jobSender(ctx context.Context, t *team) func(*rand.Rand, int64) {
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
		entry := r.randomEntry(rng)
		j.entryIndex = rng.IntN(len(r.entries))
		r.calls.Go(func() { r.runJob(ctx, j, entry) })
	}
}

// cancelTime rounds the time of a cancellation up to a multiple of CancelInterval.
func (r *runner) cancelTime(due time.Duration) time.Duration {
	every := r.cfg.CancelInterval
	if every <= 0 {
		return due
	}
	return (due + every - 1) / every * every
}

// taskID returns the ID of the job, which is also that of its task.
func (j *job) taskID() string {
	return "job-" + statemachine.OrderID(j.team.name, j.key)
}

func (j *job) atMostOnce() bool {
	return j.class == ClassJobAtMostOnce
}

// runJob submits the job and counts its outcome.
func (r *runner) runJob(ctx context.Context, j *job, entry string) {
	j.sent = time.Now()
	tally := r.classes[j.class]
	tally.start()
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), jobCallTimeout)
	defer cancel()
	accepted, err := r.client(entry, j).SubmitJob(callCtx, j.queue, j.body, j.key)
	if err != nil {
		outcome := outcomeOf(err)
		r.outcomes.record(j.taskID(), j.atMostOnce(), outcome)
		tally.finish(outcome, 0, false)
		return
	}
	r.countAccepted()
	j.team.recordOffered(j.sent.Sub(r.start), j.work)
	defer r.unfinishedJobs.Add(-1)
	latest := r.watch(ctx, j, accepted)
	took := time.Since(j.sent)
	outcome := unfinishedJob
	if latest.State.Finished() {
		outcome = string(latest.State)
	}
	r.checkJobOutcome(ctx, j, latest, outcome)
	tally.finish(outcome, took, latest.State == statemachine.JobDone)
}

func (r *runner) client(entry string, j *job) *api.Client {
	return api.NewClient(entry, j.team.key, r.cfg.HTTP)
}

func (r *runner) countAccepted() {
	r.unfinishedJobs.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
}

// watch polls the job until it has finished, JobTimeout expires or the context is
// done. It cancels the job when that is due and returns the last seen state.
func (r *runner) watch(ctx context.Context, j *job, latest api.Job) api.Job {
	ctx, cancel := context.WithDeadline(ctx, j.sent.Add(r.cfg.JobTimeout))
	defer cancel()
	cancelHandled := !j.cancel
	for interval := firstPoll; ; interval = min(maxPoll, interval*3/2) {
		if !cancelHandled {
			interval = min(interval, max(0, j.cancelAt-time.Since(r.start)))
		}
		select {
		case <-ctx.Done():
			return latest
		case <-time.After(interval):
		}
		if !cancelHandled && time.Since(r.start) >= j.cancelAt {
			cancelHandled = r.cancel(ctx, j, latest.ID)
			interval = firstPoll
		}
		if now, err := r.watchClient(j).GetJob(ctx, latest.ID); err == nil {
			latest = now
		} else {
			j.entryIndex++
		}
		if latest.State.Finished() {
			return latest
		}
		interval = max(interval, firstPoll)
	}
}

// watchClient returns a client of the entry through which the job is polled.
func (r *runner) watchClient(j *job) *api.Client {
	return r.client(r.entries[j.entryIndex%len(r.entries)], j)
}

// cancel cancels the job and reports whether an entry has answered, including
// that the job has already finished.
func (r *runner) cancel(ctx context.Context, j *job, id string) bool {
	err := r.watchClient(j).CancelJob(ctx, id)
	if outcomeOf(err) == unknown {
		j.entryIndex++
		return false
	}
	r.classes[j.class].cancel()
	return true
}

// checkJobOutcome checks the outcome of an accepted job against the guarantee.
func (r *runner) checkJobOutcome(ctx context.Context, j *job, latest api.Job, outcome string) {
	outcomeSeen := unknown
	if latest.State == statemachine.JobDone {
		outcomeSeen = answered
		j.team.recordJobUse(time.Since(r.start), j.work)
	}
	r.outcomes.record(j.taskID(), j.atMostOnce(), outcomeSeen)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, complete := parseAnswer(j.body, latest.Answer); latest.State == statemachine.JobDone && !complete {
		r.wrongJobAnswers++
	}
	violation := j.violation(latest)
	if outcome == unfinishedJob && ctx.Err() != nil {
		violation = ""
	}
	if violation == "" {
		return
	}
	r.violatingJobs++
	if r.firstViolation == "" {
		r.firstViolation = latest.ID + " " + violation
	}
}

// violation describes how the job's outcome violates the guarantee, or returns "".
func (j *job) violation(latest api.Job) string {
	switch {
	case !latest.State.Finished():
		return "did not finish within the job timeout; its state is " + string(latest.State)
	case latest.State == statemachine.JobDone:
		return ""
	case latest.State == statemachine.JobCancelled && !j.cancel:
		return "is cancelled without a cancellation request"
	case latest.Message == "":
		return "finished as " + string(latest.State) + " without a reason"
	default:
		return ""
	}
}
