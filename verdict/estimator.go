package verdict

import (
	"cmp"
	"slices"
	"time"
)

// Estimator estimates which targets are bad and which jobs are impossible. It
// is not safe for concurrent use.
type Estimator struct {
	params    Params
	jobs      map[string]*jobNode
	jobsByAge []*jobNode
	targets   map[string]*targetNode
	// ignoredBefore is, per target, the time before which failures do not count.
	ignoredBefore map[string]time.Time
	// outdated is set while the probabilities do not reflect all attempts.
	outdated bool
	// pass numbers the updates, so that each includes a job once.
	pass uint64
}

// New returns an estimator without observations.
func New(p Params) *Estimator {
	return &Estimator{
		params: p, jobs: make(map[string]*jobNode), targets: make(map[string]*targetNode), ignoredBefore: make(map[string]time.Time),
	}
}

// AddAttempt records the outcome of a start.
func (e *Estimator) AddAttempt(a Attempt) {
	e.outdated = true
	if a.Failed {
		e.addFailure(a)
		return
	}
	if job := e.jobs[a.Job]; job != nil {
		job.succeeded = true
	}
	if target := e.targets[a.Target]; target != nil {
		target.clearFailures()
		delete(e.targets, a.Target)
	}
}

func (e *Estimator) addFailure(a Attempt) {
	if a.At.Before(e.ignoredBefore[a.Target]) {
		return
	}
	job, target := e.job(a), e.target(a.Target)
	if f := job.failureOn(target); f != nil {
		f.at = a.At
		return
	}
	f := &failure{job: job, target: target, at: a.At}
	job.failures = append(job.failures, f)
	target.failures = append(target.failures, f)
	if len(target.failures) > maxFailuresPerTarget {
		target.failures = slices.Clone(target.failures[1:])
	}
}

func (e *Estimator) job(a Attempt) *jobNode {
	job := e.jobs[a.Job]
	if job == nil {
		job = &jobNode{id: a.Job, team: a.Team}
		e.jobs[a.Job] = job
		e.jobsByAge = append(e.jobsByAge, job)
	}
	if len(e.jobsByAge) > maxJobs {
		e.evictOldestJob()
	}
	return job
}

func (e *Estimator) target(id string) *targetNode {
	target := e.targets[id]
	if target == nil {
		target = &targetNode{id: id}
		e.targets[id] = target
	}
	return target
}

// ResetTarget discards the target's failures before the time at which it was
// released from quarantine. A relapsed target needs fewer failures to count as
// bad until it succeeds.
func (e *Estimator) ResetTarget(target string, at time.Time, relapsed bool) {
	e.outdated = true
	e.ignoredBefore[target] = at
	node := e.target(target)
	node.relapsed = relapsed
	node.failures = slices.DeleteFunc(slices.Clone(node.failures), func(f *failure) bool { return f.at.Before(at) })
}

// ExpireFailures discards failures that are older than the window.
func (e *Estimator) ExpireFailures(now time.Time) {
	horizon := now.Add(-e.params.Window)
	for len(e.jobsByAge) > 0 && e.jobsByAge[0].allFailuresBefore(horizon) {
		e.evictOldestJob()
	}
}

// evictOldestJob discards the job whose first failure is the oldest.
func (e *Estimator) evictOldestJob() {
	oldest := e.jobsByAge[0]
	e.jobsByAge = e.jobsByAge[1:]
	delete(e.jobs, oldest.id)
	for _, f := range oldest.failures {
		f.target.failures = slices.DeleteFunc(f.target.failures, func(other *failure) bool { return other == f })
	}
	e.outdated = true
}

// HasFailures reports whether a failure of the job is known.
func (e *Estimator) HasFailures(job string) bool {
	return e.jobs[job] != nil
}

// IsImpossible reports whether the job counts as one that can never run.
func (e *Estimator) IsImpossible(job string) bool {
	return e.ImpossibleProbability(job) >= e.params.JobConfidence
}

// ImpossibleProbability returns the probability that the job can never run.
func (e *Estimator) ImpossibleProbability(job string) float64 {
	node := e.jobs[job]
	switch {
	case node == nil:
		return e.params.ImpossibleJobPrior
	case node.succeeded:
		return 0
	}
	e.update()
	return probability(e.params.impossibleLogOdds(node))
}

// Suspects returns the targets that count as bad, the most probable first.
func (e *Estimator) Suspects() []Suspect {
	e.update()
	var out []Suspect
	for id, target := range e.targets {
		p := probability(e.params.badLogOdds(target))
		if p >= e.params.TargetConfidence && target.hasIndependentFailures() {
			out = append(out, Suspect{Target: id, FailedJobs: len(target.failures), Probability: p})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// update computes the probabilities iteratively, starting from the priors so
// that they do not depend on when they were last queried.
func (e *Estimator) update() {
	if !e.outdated {
		return
	}
	e.outdated = false
	unsucceeded := e.resetJobs()
	for range iterations {
		for _, target := range e.targets {
			e.params.updateBadProbabilities(target)
		}
		for _, job := range unsucceeded {
			e.params.updateImpossibleProbabilities(job)
		}
	}
}

// resetJobs resets the probabilities that jobs are impossible to their priors
// and returns the jobs that have not succeeded and count against a target.
func (e *Estimator) resetJobs() []*jobNode {
	var unsucceeded []*jobNode
	e.pass++
	for _, target := range e.targets {
		for _, f := range target.failures {
			f.impossibleProbability = 0
			if f.job.succeeded {
				continue
			}
			f.impossibleProbability = e.params.ImpossibleJobPrior
			if f.job.pass != e.pass {
				f.job.pass = e.pass
				unsucceeded = append(unsucceeded, f.job)
			}
		}
	}
	return unsucceeded
}
