package admission

import (
	"time"
)

// refusedSmoothing is the weight of the latest interval in the refused demand.
const refusedSmoothing = 0.3

// Loads returns the load of each team that has run, waited or been refused
// here. It must be called once per interval, which it takes the refusals of.
func (l *WaitQueue) Loads(now time.Time, interval time.Duration) []Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := l.overallMeanRunTime(now)
	out := make([]Load, 0, len(l.teams))
	for _, t := range l.teams {
		slots := float64(t.refused) * float64(mean) / float64(interval)
		t.refused = 0
		t.refusedSlots += refusedSmoothing * (slots - t.refusedSlots)
		out = append(out, Load{
			Team:    t.name,
			Running: float64(l.cfg.Running(t.name)),
			Waiting: float64(len(t.waiters)) + t.refusedSlots,
		})
	}
	return out
}

// TrackTeam makes Loads report the team.
func (l *WaitQueue) TrackTeam(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.teamQueue(team)
}

// overallMeanRunTime is the mean over all queues of the latest requests.
func (l *WaitQueue) overallMeanRunTime(now time.Time) time.Duration {
	var sum time.Duration
	var count int64
	for _, r := range *l.runTimes.Load() {
		s := r.summarize(now, l.cfg.RunTimeQuantile)
		sum += time.Duration(s.samples) * s.mean
		count += s.samples
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
