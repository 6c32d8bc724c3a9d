package quarantine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/verdict"
)

// Detector detects outliers among targets and jobs from the outcomes of all
// jobs' starts in the log. Every entry that reads the log comes to the same
// verdicts.
type Detector struct {
	clock     clockwork.Clock
	mu        sync.Mutex
	estimator *verdict.Estimator
	// lastReleaseMS is each target's latest release that the estimator has
	// applied, in Unix milliseconds.
	lastReleaseMS map[string]int64
}

// NewDetector returns a detector without observations.
func NewDetector(p verdict.Params, clock clockwork.Clock) *Detector {
	return &Detector{clock: clock, estimator: verdict.New(p), lastReleaseMS: make(map[string]int64)}
}

// Observe processes the records of one payload of the job streams. It is a
// logstream.Observer.
func (d *Detector) Observe(state *statemachine.State, results []statemachine.Result) {
	for _, result := range results {
		finish, ok := result.Command.(*statemachine.JobAttemptFinish)
		if !ok || result.Rejection != nil {
			continue
		}
		job, ok := state.Jobs.Get(finish.ID)
		if !ok {
			continue
		}
		position, _ := state.Writers.Get(result.ID.Writer)
		d.addOutcome(job, finish, time.UnixMilli(position.AtMS))
	}
}

func (d *Detector) addOutcome(job *statemachine.Job, finish *statemachine.JobAttemptFinish, at time.Time) {
	failed := false
	switch {
	case finish.Outcome == statemachine.JobAttemptAnswered, finish.Verdict == statemachine.JobVerdictAnswerTooLarge:
	case finish.Outcome == statemachine.JobAttemptFailed:
		failed = true
	default:
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimator.AddAttempt(newAttempt(job, job.Slot.Target, failed, at))
}

func newAttempt(job *statemachine.Job, target string, failed bool, at time.Time) verdict.Attempt {
	return verdict.Attempt{Job: job.ID, Team: job.Team, Target: target, Failed: failed, At: at}
}

// ClassifyFailure implements job.FailureClassifier. The job's earlier failures
// count even if their records were read before this process started.
func (d *Detector) ClassifyFailure(job *statemachine.Job) statemachine.JobVerdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.estimator.HasFailures(job.ID) {
		for _, target := range job.FailedOn {
			d.estimator.AddAttempt(newAttempt(job, target, true, now))
		}
	}
	d.estimator.AddAttempt(newAttempt(job, job.Slot.Target, true, now))
	if d.estimator.IsImpossible(job.ID) {
		return statemachine.JobVerdictImpossible
	}
	return statemachine.JobVerdictInconclusive
}

// suspects returns the targets that count as bad, given their latest releases.
func (d *Detector) suspects(control *statemachine.State) []verdict.Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range control.Quarantined.All() {
		vm, ok := control.VMs.Get(id)
		if !ok || vm.ReleasedMS == d.lastReleaseMS[id] {
			continue
		}
		d.lastReleaseMS[id] = vm.ReleasedMS
		d.estimator.ResetTarget(id, time.UnixMilli(vm.ReleasedMS), vm.Quarantines > 0)
	}
	d.estimator.ExpireFailures(d.clock.Now())
	return d.estimator.Suspects()
}
