package scheduler

import (
	"math"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// SetManifest applies a manifest.
func (s *Scheduler) SetManifest(m *fleet.Manifest, now time.Time) {
	s.manifest = m
	s.reportInvalidWeights()
	for _, j := range s.jobs {
		before := j.queue.MaxAttempts
		s.applyManifest(j)
		if j.queue.MaxAttempts < before && !j.finished {
			s.failExhausted(j, now)
		}
	}
}

// failExhausted ends the job if a task that waits has failed as often as is allowed. A run
// that exists goes on.
func (s *Scheduler) failExhausted(j *job, now time.Time) {
	if j.longRunning {
		return
	}
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.phase == waiting && t.failures >= j.queue.MaxAttempts {
					s.finishJob(j, ledger.OutcomeFailed, now, s.exhaustedReason(t))
					return
				}
			}
		}
	}
}

// applyManifest sets what governs the job: the manifest's definitions of its queue and of
// its team, or those under which it was accepted where the manifest lacks them or is
// older. They depend on nothing that only this leader remembers, so that the next one
// decides alike.
func (s *Scheduler) applyManifest(j *job) {
	j.queue = s.queueOf(j.sub)
	if j.team == nil {
		return
	}
	def := s.teamOf(j.sub)
	j.limit = def.Cap
	j.team.weight = max(1, def.Weight)
}

// queueOf returns the definition of the job's queue. A job without any waits for a
// manifest that has its queue.
func (s *Scheduler) queueOf(sub *fleet.Submission) fleet.Queue {
	accepted, known := sub.AcceptedQueue()
	if current := s.manifest.QueueByName(sub.Queue); current != nil && (!known || s.isCurrentFor(sub)) {
		return *current
	}
	if known {
		return accepted
	}
	return fleet.Queue{Name: sub.Queue, MaxAttempts: math.MaxInt}
}

// teamOf returns the definition of the job's team; the zero value if there is none.
func (s *Scheduler) teamOf(sub *fleet.Submission) fleet.Team {
	accepted, known := sub.AcceptedTeam()
	if current, listed := s.manifest.Teams[sub.Team]; listed && (!known || s.isCurrentFor(sub)) {
		return current
	}
	return accepted
}

// isCurrentFor reports whether the manifest is not older than the one under which the job
// was accepted.
func (s *Scheduler) isCurrentFor(sub *fleet.Submission) bool {
	return sub.Acceptance.ManifestVersion <= s.manifest.Version
}

func (s *Scheduler) teamByName(name string) *team {
	if name == "" {
		return nil
	}
	t, known := s.teams[name]
	if !known {
		t = &team{name: name, weight: 1}
		s.teams[name] = t
	}
	return t
}
