package scheduler

import "time"

const (
	// teamHitWindow is the time over which a team's stopped work is counted: that of a
	// short task with its stop and its start elsewhere.
	teamHitWindow = 2 * time.Second
	// maxTeamHitPart is the part of what a team runs in a pool that may be stopped for
	// others within the window: the rest goes on, whoever waits.
	maxTeamHitPart = 0.5
)

// teamHits is what was stopped of a team's work in a pool since a time, and what the team
// ran there then, in millicores.
type teamHits struct {
	since   time.Time
	ran     int64
	stopped int64
}

// hitKey returns the team and the pool of a running task.
func hitKey(t *task) poolTeam { return poolTeam{t.pool, t.step.occurrence.job.team} }

// recentHits returns what was stopped of the team's work in the window.
func (s *Scheduler) recentHits(key poolTeam, now time.Time) int64 {
	hits, known := s.teamHits[key]
	if !known {
		return 0
	}
	if now.Sub(hits.since) > teamHitWindow {
		delete(s.teamHits, key)
		return 0
	}
	return hits.stopped
}

// mayHitTeam reports whether the task may be stopped, beside other tasks of its team of
// the planned CPU, without taking more of the team's work than the bound. A team may
// always lose one task.
func (s *Scheduler) mayHitTeam(t *task, planned int64, now time.Time) bool {
	key := hitKey(t)
	ran := s.shortUse[key]
	hits := s.recentHits(key, now)
	if hits > 0 {
		ran = s.teamHits[key].ran
	}
	hits += planned
	return hits == 0 || float64(hits+t.step.def.Need.MilliCPU) <= maxTeamHitPart*float64(ran)
}

// hitsOf returns the team's stopped work for its weight.
func (s *Scheduler) hitsOf(t *task, now time.Time) float64 {
	hits := float64(s.recentHits(hitKey(t), now))
	if jobTeam := t.step.occurrence.job.team; jobTeam != nil && jobTeam.weight > 0 {
		hits /= float64(jobTeam.weight)
	}
	return hits
}

// countPreemption counts a task that is stopped for others against the team's bound.
func (s *Scheduler) countPreemption(t *task, now time.Time) {
	key := hitKey(t)
	hits := teamHits{since: now, ran: s.shortUse[key]}
	if s.recentHits(key, now) > 0 {
		hits = s.teamHits[key]
	}
	hits.stopped += t.step.def.Need.MilliCPU
	s.teamHits[key] = hits
}
