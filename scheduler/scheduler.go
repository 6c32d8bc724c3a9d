package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// Scheduler is the owner's state of the fleet. It is not safe for concurrent
// use.
type Scheduler struct {
	cfg      Config
	manifest *fleet.Manifest
	jobs     map[string]*job
	workers  map[string]*worker
	// buried holds the birth of workers' lives that are over, while the platform
	// still lists them.
	buried map[string]int64
	teams  map[string]*team
	// past holds the jobs that had ended when this owner took over: runs of theirs
	// may still be stopping.
	past map[string]*fleet.Submission
	// queues keeps the last known form of each queue, also of those that the
	// manifest no longer has.
	queues map[string]fleet.Queue
	// ready holds the steps with tasks to place.
	ready map[*step]struct{}
	// timed holds the jobs with occurrences to come.
	timed           map[*job]struct{}
	vms             map[string]*vm
	vmsAt           time.Time
	vmOrders        []VMOperation
	waves           map[int64]*wave
	pools           map[string]*poolState
	arrivals        arrivals
	poolsReportedAt time.Time
	batch           Batch
	inFlight        map[int64]*Batch
	number          int64
	events          []Event
	deposed         bool
	tookAt          time.Time
}

// New returns a scheduler that has taken over at the time.
func New(cfg Config, now time.Time) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		manifest: &fleet.Manifest{},
		jobs:     map[string]*job{},
		workers:  map[string]*worker{},
		buried:   map[string]int64{},
		teams:    map[string]*team{},
		queues:   map[string]fleet.Queue{},
		ready:    map[*step]struct{}{},
		timed:    map[*job]struct{}{},
		past:     map[string]*fleet.Submission{},
		vms:      map[string]*vm{},
		waves:    map[int64]*wave{},
		pools:    map[string]*poolState{},
		inFlight: map[int64]*Batch{},
		tookAt:   now,
	}
}

// Fenced reports whether a worker has seen a higher token.
func (s *Scheduler) Fenced() bool { return s.deposed }

// TakeBatch returns what has been decided since the last call.
func (s *Scheduler) TakeBatch() Batch {
	s.number++
	out := s.batch
	out.Number = s.number
	s.batch = Batch{}
	if out.NeedsPersisting() {
		kept := out
		s.inFlight[out.Number] = &kept
	}
	return out
}

// TakeEvents returns the decisions since the last call.
func (s *Scheduler) TakeEvents() []Event {
	out := s.events
	s.events = nil
	return out
}

func (s *Scheduler) note(e Event) { s.events = append(s.events, e) }

// HandleBatchPersisted tells that the batch has been stored, and returns the starts that
// waited for it.
func (s *Scheduler) HandleBatchPersisted(number int64, now time.Time) []StartRequest {
	b, known := s.inFlight[number]
	if !known {
		return nil
	}
	delete(s.inFlight, number)
	for w, seen := range b.seen {
		w.recorded = max(w.recorded, seen)
	}
	var out []StartRequest
	for _, t := range b.starts {
		if start, ok := s.release(t, now); ok {
			out = append(out, start)
		}
	}
	return out
}

// release turns a recorded assignment into a start, if it still holds.
func (s *Scheduler) release(t *task, now time.Time) (StartRequest, bool) {
	if t.phase != recording {
		return StartRequest{}, false
	}
	w := t.worker
	if t.step.run.job.ended || w.dead || w.info.Draining || w.ending || w.missed > 0 || !w.registered {
		s.requeue(t, now, "the assignment no longer holds")
		return StartRequest{}, false
	}
	t.phase = starting
	w.extendLease(now, s.cfg.LeaseDuration)
	return StartRequest{Endpoint: w.endpoint(), Request: fleet.StartRequest{
		Task: t.id, Attempt: t.attempt, Spec: t.step.run.job.sub.Spec,
		DeadlineMillis: w.clock(now) + s.cfg.LeaseDuration.Milliseconds(),
		FencingToken:   s.cfg.FencingToken, Checkpoint: t.checkpoint, Ticket: t.ticket,
	}}, true
}

// record stores the task's state with the next batch.
func (s *Scheduler) record(t *task) {
	s.batch.Records = append(s.batch.Records, ledger.AssignmentRecord(t.id, t.assignment()))
}
