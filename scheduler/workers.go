package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// SetWorkers replaces the list of workers by the platform's current one.
func (s *Scheduler) SetWorkers(list map[string]fleet.Worker, now time.Time) {
	s.workersListedAt = now
	for id, info := range list {
		s.setWorker(id, info, now)
	}
	for _, known := range []map[string]int64{s.endedIncarnations, s.refutedIncarnations} {
		for id := range known {
			if _, listed := list[id]; !listed {
				delete(known, id)
			}
		}
	}
	for id, w := range s.workers {
		if _, listed := list[id]; !listed {
			w.listed = false
			if !w.hasRuns() {
				w.ended = true
				s.dropWorker(id, now)
			}
		}
	}
	s.forgetHistories(now)
}

func (s *Scheduler) setWorker(id string, info fleet.Worker, now time.Time) {
	w, known := s.workers[id]
	if refuted, exists := s.refutedIncarnations[id]; exists && info.StartedAtMillis == refuted {
		return // Another writer's record stands until the worker reports again.
	}
	earlier := known && w.info.StartedAtMillis != 0 && info.StartedAtMillis != 0 && info.StartedAtMillis < w.info.StartedAtMillis
	if earlier && w.claimedAt.IsZero() && w.missedPolls == 0 {
		return // A poll has shown a later incarnation, and it answers.
	}
	if startedAt, ended := s.endedIncarnations[id]; ended && info.StartedAtMillis != 0 && info.StartedAtMillis <= startedAt {
		return // The list shows an ended incarnation for some heartbeats.
	}
	if earlier || known && w.info.StartedAtMillis != 0 && info.StartedAtMillis > w.info.StartedAtMillis {
		w = s.claim(w, info, now)
	}
	if !known {
		w = s.newWorker(info, now)
		w.claimedAt = now
		s.workers[id] = w
		s.emit(Event{Kind: "worker.listed", ID: id, Reason: info.Pool})
	}
	if w.info.Draining != info.Draining && known {
		s.emit(Event{Kind: "worker.draining", ID: id, Reason: info.Pool})
	}
	if known && info.Address != w.info.Address && info.StartedAtMillis == w.info.StartedAtMillis && w.polled && w.missedPolls == 0 {
		info.Address = w.info.Address // The incarnation answers there.
	}
	info.StartedAtMillis = max(info.StartedAtMillis, w.info.StartedAtMillis)
	s.updateToken(w, info, now)
	w.info, w.recordOutdated = info, false
	w.evacuated = s.isEvacuated(info.AvailabilityZone)
	w.listed = true
}

// PollTarget is a worker to poll.
type PollTarget struct {
	Endpoint fleet.Endpoint
	// Pool is the worker's pool.
	Pool string
	Busy bool
}

// PollTargets returns the workers that must be polled.
func (s *Scheduler) PollTargets() []PollTarget {
	out := make([]PollTarget, 0, len(s.workers))
	for _, w := range s.workers {
		if w.info.Address == "" {
			continue
		}
		out = append(out, PollTarget{Endpoint: w.endpoint(), Pool: w.info.Pool, Busy: len(w.tasks) > 0})
	}
	return out
}

// PreparePoll returns the request of the next poll of the worker. The leases of a
// worker that misses polls are not extended, so that its tasks can be started
// elsewhere, nor by a status that is old: the worker may have restarted since.
//
// A leader that cannot prove its leadership extends no lease, either.
func (s *Scheduler) PreparePoll(id string, now time.Time, authorized bool) (fleet.PollRequest, bool) {
	w, known := s.workers[id]
	if !known || w.ended {
		return fleet.PollRequest{}, false
	}
	request := fleet.PollRequest{FencingToken: w.fencingToken, RecordedThrough: w.outcomeToAcknowledge()}
	if authorized && w.statusFresh(now) && !w.clockAt.IsZero() && w.mayHaveRuns() {
		request.DeadlineMillis = w.estimatedClock(now) + s.cfg.LeaseDuration.Milliseconds()
		w.lease.requested(now, s.cfg.LeaseDuration)
	}
	return request, true
}

// PrepareRepeat returns the request of a poll whose last attempt got no response. The worker
// may have restarted meanwhile: the numbers and the clock of its earlier incarnation mean
// something else to it, so that the request names neither. It acknowledges no outcome and
// extends no lease, which is left to the poll after the response.
func (s *Scheduler) PrepareRepeat(id string) (fleet.PollRequest, bool) {
	w, known := s.workers[id]
	if !known || w.ended {
		return fleet.PollRequest{}, false
	}
	return fleet.PollRequest{FencingToken: w.fencingToken}, true
}

// WorkerActivity reports whether the worker has runs, and whether outcomes are
// unstored.
func (s *Scheduler) WorkerActivity(id string) (busy, unstored bool) {
	w, known := s.workers[id]
	if !known {
		return false, false
	}
	return w.hasRuns(), w.lastHandledOutcome > w.lastRecordedOutcome
}

// ExpectedChanges reports what the next status may show: runs that end by themselves,
// and long-running tasks that become ready.
func (s *Scheduler) ExpectedChanges(id string) (mayFinish, mayBecomeReady bool) {
	w, known := s.workers[id]
	if !known {
		return false, false
	}
	for _, t := range w.tasks {
		switch {
		case !t.step.def.LongRunning:
			mayFinish = true
		case t.mayHaveRun() && t.progress < 100:
			mayBecomeReady = true
		}
	}
	return mayFinish, mayBecomeReady
}
