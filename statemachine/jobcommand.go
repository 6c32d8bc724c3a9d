package statemachine

const (
	// KindJobAccept is the kind of JobAccept.
	KindJobAccept Kind = "job_accept"
	// KindJobTake is the kind of JobTake.
	KindJobTake Kind = "job_take"
	// KindJobStart is the kind of JobStart.
	KindJobStart Kind = "job_start"
	// KindJobEnd is the kind of JobEnd.
	KindJobEnd Kind = "job_end"
	// KindJobCancel is the kind of JobCancel.
	KindJobCancel Kind = "job_cancel"
)

// JobAccept makes a job, owned by the writer.
type JobAccept struct {
	ID         string   `json:"id"`
	Team       string   `json:"team"`
	Queue      string   `json:"queue"`
	Pools      []string `json:"pools"`
	Idempotent bool     `json:"idempotent"`
	Body       []byte   `json:"body"`
	BodyHash   string   `json:"body_hash"`
}

// Kind implements Command.
func (*JobAccept) Kind() Kind { return KindJobAccept }

func (c *JobAccept) apply(next *State, ctx applyContext) *Void {
	next.forgetJobs(ctx.atMS)
	if _, ok := next.Jobs.Get(c.ID); ok {
		return voidf(ReasonExists, "job %s is accepted already", c.ID)
	}
	if c.ID == "" || len(c.Body) > MaxJobBody {
		return voidf(ReasonInvalid, "a job needs an ID and a body of at most %d bytes", MaxJobBody)
	}
	next.setJob(Job{
		ID: c.ID, Team: c.Team, Queue: c.Queue, Pools: c.Pools, Idempotent: c.Idempotent, Body: c.Body, BodyHash: c.BodyHash,
		State: JobQueued, Owner: ctx.writer, Epoch: 1,
	}, ctx.atMS)
	return nil
}

// JobTake makes the writer the owner. It is void unless Epoch is the job's, so
// that of two takers one wins.
type JobTake struct {
	ID    string `json:"id"`
	Epoch int    `json:"epoch"`
}

// Kind implements Command.
func (*JobTake) Kind() Kind { return KindJobTake }

func (c *JobTake) apply(next *State, ctx applyContext) *Void {
	job, void := next.openJob(c.ID)
	if void != nil {
		return void
	}
	if job.Epoch != c.Epoch {
		return voidf(ReasonEpoch, "job %s is at epoch %d, not %d", c.ID, job.Epoch, c.Epoch)
	}
	job.Owner, job.Epoch = ctx.writer, job.Epoch+1
	next.setJob(job, ctx.atMS)
	return nil
}

// JobStart claims the next start of a queued job for one slot lease. Only the
// owner may write it, and the start may be sent only after it is read back.
type JobStart struct {
	ID    string    `json:"id"`
	Epoch int       `json:"epoch"`
	On    JobTarget `json:"on"`
}

// Kind implements Command.
func (*JobStart) Kind() Kind { return KindJobStart }

func (c *JobStart) apply(next *State, ctx applyContext) *Void {
	job, void := next.ownedJob(c.ID, c.Epoch, ctx.writer)
	if void != nil {
		return void
	}
	if job.State != JobQueued || job.CancelAsked {
		return voidf(ReasonStep, "job %s is %s", c.ID, job.State)
	}
	job.State, job.Start, job.Attempt = JobRunning, c.On, job.Attempt+1
	next.setJob(job, ctx.atMS)
	return nil
}

// JobAttemptEnd tells how a claimed start ended.
type JobAttemptEnd string

const (
	// JobAttemptAnswered means that the start ran and answered.
	JobAttemptAnswered JobAttemptEnd = "answered"
	// JobAttemptFailed means that the start ran and reported a failure.
	JobAttemptFailed JobAttemptEnd = "failed"
	// JobAttemptStopped means that the start was stopped from outside.
	JobAttemptStopped JobAttemptEnd = "stopped"
	// JobAttemptReleased means that the start never began and never will.
	JobAttemptReleased JobAttemptEnd = "released"
	// JobAttemptLost means that the end of the start cannot be learnt.
	JobAttemptLost JobAttemptEnd = "lost"
)

// JobEnd records the end of a start. Only the owner may write it.
type JobEnd struct {
	ID         string        `json:"id"`
	Epoch      int           `json:"epoch"`
	Attempt    int           `json:"attempt"`
	End        JobAttemptEnd `json:"end"`
	Answer     []byte        `json:"answer,omitempty"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	Message    string        `json:"message,omitempty"`
	// Verdict goes with a failure.
	Verdict JobVerdict `json:"verdict,omitempty"`
}

// Kind implements Command.
func (*JobEnd) Kind() Kind { return KindJobEnd }

func (c *JobEnd) apply(next *State, ctx applyContext) *Void {
	job, void := next.ownedJob(c.ID, c.Epoch, ctx.writer)
	if void != nil {
		return void
	}
	if job.State != JobRunning || job.Attempt != c.Attempt {
		return voidf(ReasonStep, "job %s is %s at start %d", c.ID, job.State, job.Attempt)
	}
	switch c.End {
	case JobAttemptAnswered:
		job.end(JobDone, "")
		job.Answer = c.Answer
	case JobAttemptFailed:
		job.failed(c.Message, c.Verdict)
	case JobAttemptStopped:
		job.stopped(c.Checkpoint)
	case JobAttemptReleased:
		job.released()
	case JobAttemptLost:
		job.lost(c.Message)
	default:
		return voidf(ReasonInvalid, "%q is no end of a start", c.End)
	}
	next.setJob(job, ctx.atMS)
	return nil
}

// JobCancel ends a queued job of the team and asks for the end of a running
// one.
type JobCancel struct {
	ID   string `json:"id"`
	Team string `json:"team"`
}

// Kind implements Command.
func (*JobCancel) Kind() Kind { return KindJobCancel }

func (c *JobCancel) apply(next *State, ctx applyContext) *Void {
	job, void := next.openJob(c.ID)
	if void != nil {
		return void
	}
	if job.Team != c.Team {
		return voidf(ReasonNotFound, "team %s has no job %s", c.Team, c.ID)
	}
	job.CancelAsked = true
	if job.State == JobQueued {
		job.end(JobCancelled, "cancelled before it ran")
	}
	next.setJob(job, ctx.atMS)
	return nil
}

// jobCommands are the commands that accept and carry out jobs.
var jobCommands = map[Kind]newCommand{
	KindJobAccept: func() Command { return &JobAccept{} },
	KindJobTake:   func() Command { return &JobTake{} },
	KindJobStart:  func() Command { return &JobStart{} },
	KindJobEnd:    func() Command { return &JobEnd{} },
	KindJobCancel: func() Command { return &JobCancel{} },
}
