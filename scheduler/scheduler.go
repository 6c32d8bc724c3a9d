package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// Scheduler is the leader's state of the fleet. It is not safe for concurrent use.
type Scheduler struct {
	cfg      Config
	manifest *fleet.Manifest
	jobs     map[string]*job
	workers  map[string]*worker
	// endedIncarnations holds the start time of each listed worker's last ended
	// incarnation.
	endedIncarnations map[string]int64
	// refutedIncarnations holds the start time of each listed worker's last incarnation that
	// was on the list and proved not to be at the address there.
	refutedIncarnations map[string]int64
	workersListedAt     time.Time
	// histories holds what is known of each worker beyond one incarnation, by ID.
	histories map[string]*workerHistory
	// lowestToken is the highest token of the histories that have been forgotten.
	lowestToken int64
	teams       map[string]*team
	// previouslyFinished holds jobs that had finished at the takeover: their runs may
	// still be stopping.
	previouslyFinished map[string]*fleet.Submission
	// shortUse is what each team uses of each pool with tasks that end by themselves, in
	// millicores.
	shortUse map[poolTeam]int64
	// teamHits is what has lately been stopped of each team's work for others.
	teamHits map[poolTeam]teamHits
	// preemptedAt is when work was last looked for that must be stopped for other work.
	preemptedAt time.Time
	// ready holds the steps with tasks to place.
	ready map[*step]struct{}
	// reservations holds the workers that are kept for steps, runRatios how the runs of
	// each queue compared with their estimates.
	reservations map[*step]*reservation
	runRatios    map[string]*runRatios
	// scheduledJobs holds the jobs with occurrences to come.
	scheduledJobs map[*job]struct{}
	vms           map[string]*vm
	vmsListedAt   time.Time
	vmOperations  []VMOperation
	// previousOrders is when the orders of earlier leaders were read, by VM; nil if not
	// known.
	previousOrders map[string]time.Time
	waves          map[int64]*wave
	pools          map[string]*poolState
	// evacuations holds the availability zones in which no task may start.
	evacuations     map[string]*evacuation
	arrivals        arrivals
	poolsReportedAt time.Time
	// began holds the jobs that have begun and of which no record tells it.
	began       []beganTask
	batch       Batch
	unpersisted map[int64]*Batch
	batchNumber int64
	events      []Event
	fenced      bool
	tookOverAt  time.Time
}

// New returns the scheduler of a leader that takes over now.
func New(cfg Config, now time.Time) *Scheduler {
	return &Scheduler{
		cfg:                 cfg,
		manifest:            &fleet.Manifest{},
		jobs:                map[string]*job{},
		workers:             map[string]*worker{},
		endedIncarnations:   map[string]int64{},
		refutedIncarnations: map[string]int64{},
		histories:           map[string]*workerHistory{},
		teams:               map[string]*team{},
		shortUse:            map[poolTeam]int64{},
		teamHits:            map[poolTeam]teamHits{},
		ready:               map[*step]struct{}{},
		reservations:        map[*step]*reservation{},
		runRatios:           map[string]*runRatios{},
		scheduledJobs:       map[*job]struct{}{},
		previouslyFinished:  map[string]*fleet.Submission{},
		vms:                 map[string]*vm{},
		waves:               map[int64]*wave{},
		pools:               map[string]*poolState{},
		evacuations:         map[string]*evacuation{},
		unpersisted:         map[int64]*Batch{},
		tookOverAt:          now,
	}
}

// Fenced reports whether a worker has seen a higher fencing token.
func (s *Scheduler) Fenced() bool { return s.fenced }

// TakeBatch returns the decisions since the last call.
func (s *Scheduler) TakeBatch() Batch {
	if len(s.batch.Records) > 0 {
		s.reportBegan()
	}
	s.batchNumber++
	out := s.batch
	out.Number = s.batchNumber
	s.batch = Batch{}
	if out.NeedsPersisting() {
		pending := out
		s.unpersisted[out.Number] = &pending
	}
	return out
}

// TakeEvents returns the events since the last call.
func (s *Scheduler) TakeEvents() []Event {
	out := s.events
	s.events = nil
	return out
}

func (s *Scheduler) emit(e Event) { s.events = append(s.events, e) }

// HandleBatchPersisted records that the batch is stored, and returns its starts.
func (s *Scheduler) HandleBatchPersisted(number int64, now time.Time) []StartRequest {
	b, known := s.unpersisted[number]
	if !known {
		return nil
	}
	delete(s.unpersisted, number)
	s.releaseOperations(b.pendingOperations, now)
	for w, outcome := range b.handledOutcomes {
		w.lastRecordedOutcome = max(w.lastRecordedOutcome, outcome)
	}
	s.withdrawEvacuatedGangs(b.pendingStarts, now)
	var out []StartRequest
	for _, pending := range b.pendingStarts {
		if pending.task.attempt != pending.attempt {
			continue
		}
		if start, ok := s.buildStartRequest(pending.task, now); ok {
			out = append(out, start)
		}
	}
	return out
}

// buildStartRequest turns a stored assignment into a start, if still valid.
func (s *Scheduler) buildStartRequest(t *task, now time.Time) (StartRequest, bool) {
	if t.phase != persisting {
		return StartRequest{}, false
	}
	w := t.worker
	if t.step.occurrence.job.finished || w.ended || w.info.Draining || w.operationPending || !w.statusFresh(now) || !w.listed || w.recordOutdated {
		s.requeue(t, now, "the assignment is no longer valid")
		return StartRequest{}, false
	}
	if w.evacuated {
		s.requeue(t, now, "the availability zone of the worker is being evacuated")
		return StartRequest{}, false
	}
	t.phase = starting
	w.lease.requested(now, s.cfg.LeaseDuration)
	return StartRequest{Endpoint: w.endpoint(), Request: fleet.StartRequest{
		Task: t.id, Attempt: t.attempt, Spec: t.step.occurrence.job.sub.Spec,
		DeadlineMillis: w.estimatedClock(now) + s.cfg.LeaseDuration.Milliseconds(),
		FencingToken:   w.fencingToken, Checkpoint: t.checkpoint, Ticket: t.ticket,
	}}, true
}

// recordAssignment stores the task's state with the next batch.
func (s *Scheduler) recordAssignment(t *task) {
	a := t.assignment()
	if a.HasBegun() {
		j := t.step.occurrence.job
		j.beganKnown, j.beganStored = true, true
	}
	s.batch.Records = append(s.batch.Records, ledger.AssignmentRecord(t.id, a))
}
