package quarantine

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/verdict"
)

// Detector collects the ends of all jobs' starts from the log and gives verdicts.
// Every entry that reads the log comes to the same ones.
type Detector struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	evidence *verdict.Estimator
	// released is each target's latest release that the evidence knows of, in
	// Unix milliseconds.
	released map[string]int64
}

// NewDetector returns a judge without evidence.
func NewDetector(p verdict.Params, clock clockwork.Clock) *Detector {
	return &Detector{clock: clock, evidence: verdict.New(p), released: make(map[string]int64)}
}

// Observe takes the records of a payload of the jobs' streams into account. It
// is a logstream.Observer.
func (j *Detector) Observe(state *statemachine.State, results []statemachine.Result) {
	for _, result := range results {
		end, ok := result.Command.(*statemachine.JobAttemptFinish)
		if !ok || result.Rejection != nil {
			continue
		}
		job, ok := state.Jobs.Get(end.ID)
		if !ok {
			continue
		}
		mark, _ := state.Writers.Get(result.ID.Writer)
		j.addEnd(job, end, time.UnixMilli(mark.AtMS))
	}
}

func (j *Detector) addEnd(job *statemachine.Job, end *statemachine.JobAttemptFinish, at time.Time) {
	failed := false
	switch {
	case end.Outcome == statemachine.JobAttemptAnswered, end.Verdict == statemachine.JobVerdictAnswerTooLarge:
	case end.Outcome == statemachine.JobAttemptFailed:
		failed = true
	default:
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evidence.AddAttempt(attempt(job, job.Slot.Target, failed, at))
}

func attempt(job *statemachine.Job, target string, failed bool, at time.Time) verdict.Attempt {
	return verdict.Attempt{Job: job.ID, Team: job.Team, Target: target, Failed: failed, At: at}
}

// ClassifyFailure implements job.Judge. The job's earlier failures count also if their
// records were read before this process began.
func (j *Detector) ClassifyFailure(job *statemachine.Job) statemachine.JobVerdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.clock.Now()
	if !j.evidence.HasFailures(job.ID) {
		for _, target := range job.FailedOn {
			j.evidence.AddAttempt(attempt(job, target, true, now))
		}
	}
	j.evidence.AddAttempt(attempt(job, job.Slot.Target, true, now))
	if j.evidence.IsImpossible(job.ID) {
		return statemachine.JobVerdictImpossible
	}
	return statemachine.JobVerdictInconclusive
}

// suspects returns the targets that count as bad, in view of their latest
// releases.
func (j *Detector) suspects(control *statemachine.State) []verdict.Suspect {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range control.Quarantined.All() {
		vm, ok := control.VMs.Get(id)
		if !ok || vm.ReleasedMS == j.released[id] {
			continue
		}
		j.released[id] = vm.ReleasedMS
		j.evidence.ResetTarget(id, time.UnixMilli(vm.ReleasedMS), vm.Quarantines > 0)
	}
	j.evidence.ExpireFailures(j.clock.Now())
	return j.evidence.Suspects()
}
