package admission

import (
	"math"
	"time"

	"github.com/anvilcourse/anvilcourse/shares"
)

// recordUsage adds the step to its window of 10 s, if the offered load fills
// the fleet.
func (m *model) recordUsage(at time.Duration) {
	demands := make([]shares.TeamDemand, len(m.teams))
	used := make([]float64, len(m.teams))
	offered := 0.0
	for i, t := range m.teams {
		for _, n := range m.nodes {
			used[i] += float64(n.running[t.Team] - n.idle[t.Team])
		}
		demand := m.rate(i, at) * m.meanRun.Seconds()
		offered += demand
		demands[i] = shares.TeamDemand{Weight: t.Weight, Demand: max(demand, used[i]), Limit: t.Limit}
	}
	if at%(10*time.Second) == 0 || len(m.windows) == 0 {
		m.windows = append(m.windows, usageWindow{used: make([]float64, len(m.teams)), fairSlots: make([]float64, len(m.teams))})
	}
	if offered < float64(m.capacity) {
		return
	}
	last := m.windows[len(m.windows)-1]
	for i, fair := range shares.Compute(float64(m.capacity), demands) {
		last.used[i] += used[i]
		last.fairSlots[i] += fair
	}
}

// shareError returns the mean and the maximum deviation from the fair slots
// over teams and windows, relative to the team's share.
func (m *model) shareError() (mean, worst float64) {
	count := 0.0
	for _, w := range m.windows {
		total := 0.0
		for _, fair := range w.fairSlots {
			total += fair
		}
		for i := range m.teams {
			if total == 0 {
				continue
			}
			d := math.Abs(w.used[i]-w.fairSlots[i]) / (total * m.weight(i))
			mean += d
			worst = max(worst, d)
			count++
		}
	}
	return mean / max(1, count), worst
}
