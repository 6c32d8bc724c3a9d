package scheduler

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRatioQueues bounds the queues whose ratios are kept.
	maxRatioQueues = 64
	// minRatios is the number of runs from which a queue's ratios correct its estimates.
	minRatios = 30
	// ratiosBetweenUpdates is how many runs later the median is computed again.
	ratiosBetweenUpdates = 30
	// maxRatioPercent is the largest ratio that is told from larger ones, in percent: a
	// run that takes longer is one of the few that a median leaves out.
	maxRatioPercent = 2000
)

// runRatios holds how long the runs of a queue took as a multiple of their estimates. It
// is soft: a new leader believes the estimates until it has seen enough runs. A median is
// used, because a few runs take several times as long as the others.
type runRatios struct {
	percents *hdrhistogram.Histogram
	factor   float64
	pending  int
}

func newRunRatios() *runRatios {
	return &runRatios{percents: hdrhistogram.New(1, maxRatioPercent, 2), factor: 1}
}

// record adds a run.
func (r *runRatios) record(took, estimate time.Duration) error {
	percent := max(1, min(maxRatioPercent, int64(100*took/estimate)))
	r.pending++
	if r.pending >= ratiosBetweenUpdates && r.percents.TotalCount() >= minRatios {
		r.pending, r.factor = 0, float64(r.percents.ValueAtQuantile(50))/100
	}
	return r.percents.RecordValue(percent)
}

// median returns the factor by which to correct an estimate.
func (r *runRatios) median() float64 { return r.factor }

// recordRun notes how long the task's successful run took. Runs whose start this leader
// has not seen, or that resumed from a checkpoint, tell nothing.
func (s *Scheduler) recordRun(t *task, now time.Time) {
	made := 100 - t.confirmedProgress
	if made < minRatePercent {
		return
	}
	took := now.Sub(t.confirmedAt) * 100 / time.Duration(made)
	s.observeRun(t, took)
	estimate := t.step.def.Estimate()
	if !s.cfg.Policies.Lookahead || t.confirmedAt.IsZero() || t.startedByPreviousLeader || t.resumed || estimate <= 0 || t.step.def.LongRunning {
		return
	}
	queue := t.step.occurrence.job.queue.Name
	ratios, known := s.runRatios[queue]
	if !known {
		if len(s.runRatios) >= maxRatioQueues {
			return
		}
		ratios = newRunRatios()
		s.runRatios[queue] = ratios
	}
	if err := ratios.record(took, estimate); err != nil {
		s.emit(Event{Kind: "ratio.unrecorded", ID: t.id.String(), Reason: err.Error()})
	}
}
