package admission

import (
	"time"
)

// refusedSmoothing is the weight of the latest interval in the refused demand.
const refusedSmoothing = 0.3

// Loads returns the load of each team that has run, waited or been refused
// here. Each call resets the counts of refusals, so call it once per interval.
func (q *WaitQueue) Loads(now time.Time, interval time.Duration) []Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	mean := q.overallMeanRunTime(now)
	out := make([]Load, 0, len(q.teams))
	for _, t := range q.teams {
		slots := float64(t.refused) * float64(mean) / float64(interval)
		t.refused = 0
		t.refusedSlots += refusedSmoothing * (slots - t.refusedSlots)
		out = append(out, Load{
			Team:    t.name,
			Running: float64(q.cfg.Running(t.name)),
			Waiting: float64(len(t.waiters)) + t.refusedSlots,
		})
	}
	return out
}

// TrackTeam makes Loads report the team.
func (q *WaitQueue) TrackTeam(team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.teamQueue(team)
}

// overallMeanRunTime returns the mean of the recent run times of all queues.
func (q *WaitQueue) overallMeanRunTime(now time.Time) time.Duration {
	var sum time.Duration
	var count int64
	for _, r := range *q.runTimes.Load() {
		s := r.summarize(now, q.cfg.RunTimeQuantile)
		sum += time.Duration(s.samples) * s.mean
		count += s.samples
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
