package verdict

import (
	"cmp"
	"slices"
	"time"
)

// Estimator is what is known of jobs and targets. It must not be used by
// several goroutines at once.
type Estimator struct {
	params  Params
	jobs    map[string]*jobNode
	order   []*jobNode
	targets map[string]*targetNode
	// restarted is the time before which failures of a target do not count.
	restarted map[string]time.Time
	// stale is set while the probabilities lag behind the failures.
	stale bool
	// pass counts the updates, so that each takes a job once.
	pass uint64
}

// New returns evidence of nothing.
func New(p Params) *Estimator {
	return &Estimator{
		params: p, jobs: make(map[string]*jobNode), targets: make(map[string]*targetNode), restarted: make(map[string]time.Time),
	}
}

// AddAttempt takes the end of a start into account.
func (e *Estimator) AddAttempt(a Attempt) {
	e.stale = true
	if a.Failed {
		e.addFailure(a)
		return
	}
	if job := e.jobs[a.Job]; job != nil {
		job.succeeded = true
	}
	if target := e.targets[a.Target]; target != nil {
		target.clear()
		delete(e.targets, a.Target)
	}
}

func (e *Estimator) addFailure(a Attempt) {
	if a.At.Before(e.restarted[a.Target]) {
		return
	}
	job, target := e.job(a), e.target(a.Target)
	if f := job.on(target); f != nil {
		f.at = a.At
		return
	}
	f := &failure{job: job, target: target, at: a.At}
	job.failures = append(job.failures, f)
	target.failures = append(target.failures, f)
	if len(target.failures) > failuresPerTarget {
		target.failures = slices.Clone(target.failures[1:])
	}
}

func (e *Estimator) job(a Attempt) *jobNode {
	job := e.jobs[a.Job]
	if job == nil {
		job = &jobNode{id: a.Job, team: a.Team}
		e.jobs[a.Job] = job
		e.order = append(e.order, job)
	}
	if len(e.order) > maxJobs {
		e.dropOldest()
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

// ResetTarget forgets the target's failures before the time at which it came back
// from a quarantine. A relapsed one needs fewer failures to count as bad until
// it succeeds.
func (e *Estimator) ResetTarget(target string, at time.Time, relapsed bool) {
	e.stale = true
	e.restarted[target] = at
	node := e.target(target)
	node.relapsed = relapsed
	node.failures = slices.DeleteFunc(slices.Clone(node.failures), func(f *failure) bool { return f.at.Before(at) })
}

// ExpireFailures forgets failures that are older than the window.
func (e *Estimator) ExpireFailures(now time.Time) {
	horizon := now.Add(-e.params.Window)
	for len(e.order) > 0 && e.order[0].before(horizon) {
		e.dropOldest()
	}
}

// dropOldest forgets the job that failed first of all.
func (e *Estimator) dropOldest() {
	oldest := e.order[0]
	e.order = e.order[1:]
	delete(e.jobs, oldest.id)
	for _, f := range oldest.failures {
		f.target.failures = slices.DeleteFunc(f.target.failures, func(other *failure) bool { return other == f })
	}
	e.stale = true
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
	return probability(e.params.jobOdds(node))
}

// Suspects returns the targets that count as bad, the surest first.
func (e *Estimator) Suspects() []Suspect {
	e.update()
	var out []Suspect
	for id, target := range e.targets {
		p := probability(e.params.targetOdds(target))
		if p >= e.params.TargetConfidence && target.independent() {
			out = append(out, Suspect{Target: id, FailedJobs: len(target.failures), Probability: p})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Probability, a.Probability), cmp.Compare(a.Target, b.Target))
	})
	return out
}

// update works the probabilities out from each other, from the priors on, so
// that they do not depend on when they were last asked for.
func (e *Estimator) update() {
	if !e.stale {
		return
	}
	e.stale = false
	open := e.resetJobs()
	for range rounds {
		for _, target := range e.targets {
			e.params.tellJobs(target)
		}
		for _, job := range open {
			e.params.tellTargets(job)
		}
	}
}

// resetJobs puts the probabilities of the jobs' fault back to the priors and
// returns the jobs that have not succeeded and speak against a target.
func (e *Estimator) resetJobs() []*jobNode {
	var open []*jobNode
	e.pass++
	for _, target := range e.targets {
		for _, f := range target.failures {
			f.impossible = 0
			if f.job.succeeded {
				continue
			}
			f.impossible = e.params.ImpossibleJobPrior
			if f.job.pass != e.pass {
				f.job.pass = e.pass
				open = append(open, f.job)
			}
		}
	}
	return open
}
