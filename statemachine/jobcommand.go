package statemachine

const (
	// KindJobAccept is the kind of JobAccept.
	KindJobAccept Kind = "job_accept"
	// KindJobTakeover is the kind of JobTakeover.
	KindJobTakeover Kind = "job_take"
	// KindJobStart is the kind of JobStart.
	KindJobStart Kind = "job_start"
	// KindJobAttemptFinish is the kind of JobAttemptFinish.
	KindJobAttemptFinish Kind = "job_end"
	// KindJobCancel is the kind of JobCancel.
	KindJobCancel Kind = "job_cancel"
)

// JobAccept creates a job, owned by the writer.
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

func (c *JobAccept) apply(next *State, ctx applyContext) *Rejection {
	next.collectFinishedJobs(ctx.atMS)
	if _, ok := next.Jobs.Get(c.ID); ok {
		return rejectf(ReasonExists, "job %s is already accepted", c.ID)
	}
	if c.ID == "" || len(c.Body) > MaxJobBodyBytes {
		return rejectf(ReasonInvalid, "a job needs an ID and a body of at most %d bytes", MaxJobBodyBytes)
	}
	next.setJob(Job{
		ID: c.ID, Team: c.Team, Queue: c.Queue, Pools: c.Pools, Idempotent: c.Idempotent, Body: c.Body, BodyHash: c.BodyHash,
		State: JobQueued, Owner: ctx.writer, Epoch: 1,
	}, ctx.atMS)
	return nil
}

// JobTakeover makes the writer the owner. It is rejected unless Epoch is the
// job's, so that one of two concurrent takeovers wins.
type JobTakeover struct {
	ID    string `json:"id"`
	Epoch int    `json:"epoch"`
}

// Kind implements Command.
func (*JobTakeover) Kind() Kind { return KindJobTakeover }

func (c *JobTakeover) apply(next *State, ctx applyContext) *Rejection {
	job, rejection := next.unfinishedJob(c.ID)
	if rejection != nil {
		return rejection
	}
	if job.Epoch != c.Epoch {
		return rejectf(ReasonEpoch, "job %s is at epoch %d, not %d", c.ID, job.Epoch, c.Epoch)
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
	Slot  SlotLease `json:"on"`
}

// Kind implements Command.
func (*JobStart) Kind() Kind { return KindJobStart }

func (c *JobStart) apply(next *State, ctx applyContext) *Rejection {
	job, rejection := next.ownedJob(c.ID, c.Epoch, ctx.writer)
	if rejection != nil {
		return rejection
	}
	if job.State != JobQueued || job.CancelRequested {
		return rejectf(ReasonStep, "job %s is %s", c.ID, job.State)
	}
	job.State, job.Slot, job.Attempt = JobRunning, c.Slot, job.Attempt+1
	next.setJob(job, ctx.atMS)
	return nil
}

// JobAttemptOutcome is the outcome of a claimed start.
type JobAttemptOutcome string

const (
	// JobAttemptAnswered means that the start ran and returned an answer.
	JobAttemptAnswered JobAttemptOutcome = "answered"
	// JobAttemptFailed means that the start ran and reported a failure.
	JobAttemptFailed JobAttemptOutcome = "failed"
	// JobAttemptStopped means that the start was stopped externally.
	JobAttemptStopped JobAttemptOutcome = "stopped"
	// JobAttemptReleased means that the start has not run and never will.
	JobAttemptReleased JobAttemptOutcome = "released"
	// JobAttemptLost means that the outcome of the start is unknown.
	JobAttemptLost JobAttemptOutcome = "lost"
)

// JobAttemptFinish records the outcome of a start. Only the owner may write it.
type JobAttemptFinish struct {
	ID         string            `json:"id"`
	Epoch      int               `json:"epoch"`
	Attempt    int               `json:"attempt"`
	Outcome    JobAttemptOutcome `json:"end"`
	Answer     []byte            `json:"answer,omitempty"`
	Checkpoint string            `json:"checkpoint,omitempty"`
	Message    string            `json:"message,omitempty"`
	// Verdict accompanies a failure.
	Verdict JobVerdict `json:"verdict,omitempty"`
}

// Kind implements Command.
func (*JobAttemptFinish) Kind() Kind { return KindJobAttemptFinish }

func (c *JobAttemptFinish) apply(next *State, ctx applyContext) *Rejection {
	job, rejection := next.ownedJob(c.ID, c.Epoch, ctx.writer)
	if rejection != nil {
		return rejection
	}
	if job.State != JobRunning || job.Attempt != c.Attempt {
		return rejectf(ReasonStep, "job %s is %s at attempt %d", c.ID, job.State, job.Attempt)
	}
	switch c.Outcome {
	case JobAttemptAnswered:
		job.finish(JobDone, "")
		job.Answer = c.Answer
	case JobAttemptFailed:
		job.handleFailure(c.Message, c.Verdict)
	case JobAttemptStopped:
		job.handleStopped(c.Checkpoint)
	case JobAttemptReleased:
		job.handleReleased()
	case JobAttemptLost:
		job.handleLost(c.Message)
	default:
		return rejectf(ReasonInvalid, "%q is not an attempt outcome", c.Outcome)
	}
	next.setJob(job, ctx.atMS)
	return nil
}

// JobCancel cancels a queued job of the team and requests the stop of a running
// one.
type JobCancel struct {
	ID   string `json:"id"`
	Team string `json:"team"`
}

// Kind implements Command.
func (*JobCancel) Kind() Kind { return KindJobCancel }

func (c *JobCancel) apply(next *State, ctx applyContext) *Rejection {
	job, rejection := next.unfinishedJob(c.ID)
	if rejection != nil {
		return rejection
	}
	if job.Team != c.Team {
		return rejectf(ReasonNotFound, "team %s has no job %s", c.Team, c.ID)
	}
	job.CancelRequested = true
	if job.State == JobQueued {
		job.finish(JobCancelled, "cancelled before it ran")
	}
	next.setJob(job, ctx.atMS)
	return nil
}

// jobCommands are the commands that accept and execute jobs.
var jobCommands = map[Kind]newCommand{
	KindJobAccept:        func() Command { return &JobAccept{} },
	KindJobTakeover:      func() Command { return &JobTakeover{} },
	KindJobStart:         func() Command { return &JobStart{} },
	KindJobAttemptFinish: func() Command { return &JobAttemptFinish{} },
	KindJobCancel:        func() Command { return &JobCancel{} },
}
