package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// SetManifest puts a manifest in force.
func (s *Scheduler) SetManifest(m *fleet.Manifest) {
	s.manifest = m
	for i := range m.Queues {
		s.queues[m.Queues[i].Name] = m.Queues[i]
	}
	for _, t := range s.teams {
		s.refresh(t)
	}
	for _, j := range s.jobs {
		if q, known := s.queues[j.sub.Queue]; known {
			j.queue = q
		}
	}
}

func (s *Scheduler) refresh(t *team) {
	// A team that the manifest has dropped keeps its last limit.
	if def, known := s.manifest.Teams[t.name]; known {
		t.weight, t.limit = max(1, def.Weight), def.Cap
	}
}

func (s *Scheduler) teamNamed(name string) *team {
	if name == "" {
		return nil
	}
	t, known := s.teams[name]
	if !known {
		t = &team{name: name, weight: 1}
		s.teams[name] = t
		s.refresh(t)
	}
	return t
}

// RestoreJob takes in a job of the ledger with the assignments stored so far.
func (s *Scheduler) RestoreJob(known *ledger.Job, now time.Time) {
	if known.Submission == nil {
		return
	}
	if known.Result.Outcome != ledger.OutcomeNone {
		s.past[known.Submission.ID] = known.Submission
		return
	}
	j := s.add(known.Submission, now)
	for id, a := range known.Tasks {
		s.restoreTask(j, id, a)
	}
	for _, o := range j.live {
		s.settleSteps(o)
	}
	if known.Cancelled {
		s.Cancel(j.sub.ID, now)
		return
	}
	s.finishRestored(j, now)
}

// finishRestored ends what had ended before its result was stored.
func (s *Scheduler) finishRestored(j *job, now time.Time) {
	for _, o := range j.live {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if !j.lasting && t.failures >= j.queue.MaxAttempts && t.phase != done {
					s.end(j, ledger.OutcomeFailed, now, "a task failed as often as it may")
					return
				}
			}
		}
		s.finishOccurrence(o, now)
	}
}

// restoreTask applies one stored assignment.
func (s *Scheduler) restoreTask(j *job, id fleet.TaskID, a ledger.Assignment) {
	if j.sub.HasSchedule() {
		for j.nextOccurrence <= id.Occurrence {
			s.begin(j)
		}
	}
	o, known := j.live[id.Occurrence]
	if !known || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return
	}
	t := o.steps[id.Step].tasks[id.Index]
	t.attempt, t.failures, t.checkpoint = a.Attempt, a.Failures, a.Checkpoint
	switch a.Phase {
	case ledger.PhaseDone:
		t.phase = done
	case ledger.PhaseAssigned:
		w := s.workers[a.Worker]
		if w == nil {
			w = s.unlisted(a.Worker)
		}
		if w.info.StartedAtMillis != a.WorkerStartedAtMillis && w.info.StartedAtMillis != 0 && a.WorkerStartedAtMillis != 0 {
			return // That life of the worker is over, and the run with it.
		}
		t.phase, t.restored = starting, true
		t.confirmedAt = time.Time{}
		s.occupy(t, w)
	}
}

// unlisted returns a worker that is not on the list: what ran there may still.
func (s *Scheduler) unlisted(id string) *worker {
	w := &worker{info: fleet.Worker{ID: id}, tasks: map[fleet.TaskID]*task{}}
	w.leaseFrom, w.leaseFor = s.tookAt, s.cfg.PreviousLeaderLease
	s.workers[id] = w
	return w
}

// settleSteps counts what is done after a restore.
func (s *Scheduler) settleSteps(o *occurrence) {
	o.left = 0
	o.remaining = 0
	for _, st := range o.steps {
		st.done, st.waiting = 0, 0
		for _, t := range st.tasks {
			switch t.phase {
			case done:
				st.done++
			case waiting:
				st.waiting++
			}
		}
		o.left += len(st.tasks) - st.done
		o.remaining += st.def.CoreSeconds() * float64(len(st.tasks)-st.done) / float64(len(st.tasks))
	}
	for _, st := range o.steps {
		st.blockers = 0
		for _, before := range st.def.DependsOn {
			if o.steps[before].done < len(o.steps[before].tasks) {
				st.blockers++
			}
		}
		s.index(st)
	}
}

// Submit takes in an accepted job; a copy changes nothing.
func (s *Scheduler) Submit(sub *fleet.Submission, now time.Time) {
	if _, known := s.jobs[sub.ID]; known {
		return
	}
	j := s.add(sub, now)
	if !j.lasting && !sub.HasSchedule() {
		s.arrivals.add(arrival{at: now, pool: j.queue.Pool, coreSeconds: j.work})
	}
}

func (s *Scheduler) add(sub *fleet.Submission, now time.Time) *job {
	j := &job{
		sub: sub, chain: sub.CriticalPath(), work: sub.CoreSeconds(), lasting: sub.LongRunning(),
		live: map[int]*occurrence{}, team: s.teamNamed(sub.Team),
	}
	j.queue = s.queues[sub.Queue]
	if j.queue.Name == "" {
		j.queue = fleet.Queue{Name: sub.Queue, MaxAttempts: 1}
	}
	s.jobs[sub.ID] = j
	if sub.HasSchedule() {
		s.timed[j] = struct{}{}
	} else {
		s.begin(j)
	}
	return j
}

// begin makes the next occurrence of the job one that may be placed.
func (s *Scheduler) begin(j *job) {
	o := newOccurrence(j, j.nextOccurrence)
	j.live[o.number] = o
	j.nextOccurrence++
	for _, st := range o.steps {
		s.index(st)
	}
	if j.sub.HasSchedule() && j.nextOccurrence >= j.sub.Occurrences {
		delete(s.timed, j)
	}
}

// index keeps the set of steps with tasks to place.
func (s *Scheduler) index(st *step) {
	if st.ready() {
		s.ready[st] = struct{}{}
	} else {
		delete(s.ready, st)
		st.readyAt = time.Time{}
	}
}

// Cancel stops a job for its caller.
func (s *Scheduler) Cancel(id string, now time.Time) {
	if j, known := s.jobs[id]; known && !j.ended {
		s.end(j, ledger.OutcomeCancelled, now, "cancelled by its caller")
	}
}

// end closes a job: its runs are stopped and its result is stored.
func (s *Scheduler) end(j *job, outcome ledger.Outcome, now time.Time, why string) {
	j.ended = true
	delete(s.timed, j)
	s.note(Event{Kind: "job.ended", ID: j.sub.ID, Reason: why})
	for _, o := range j.live {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				s.dropTask(t, now)
			}
			s.index(st)
		}
	}
	s.batch.Records = append(s.batch.Records, ledger.ResultRecord(j.sub.ID, ledger.Result{Outcome: outcome, AtMillis: now.UnixMilli()}))
}

// dropTask ends a task of a closed job and forgets its record.
func (s *Scheduler) dropTask(t *task, now time.Time) {
	if t.attempt > 0 {
		s.batch.Records = append(s.batch.Records, ledger.AssignmentTombstone(t.id))
	}
	switch t.phase {
	case waiting:
		t.step.waiting--
		t.phase = done
	case recording:
		// The start has not gone out and never will.
		s.vacate(t)
		t.phase = done
	case starting, running:
		s.orderStop(t, now)
	}
}

// orderStop tells the worker to stop the task's run.
func (s *Scheduler) orderStop(t *task, now time.Time) {
	if t.phase != stopping {
		t.phase = stopping
		t.goneAfter = time.Time{}
	}
	t.stopOrderedAt = now
	s.batch.Stops = append(s.batch.Stops, StopRequest{Endpoint: t.worker.endpoint(), Task: t.id, Attempt: t.attempt})
}
