package verdict

import "slices"

// estimatorRule is the rule under test.
type estimatorRule struct{ *Estimator }

func (r estimatorRule) add(a Attempt)              { r.AddAttempt(a) }
func (r estimatorRule) impossible(job string) bool { return r.IsImpossible(job) }

func (r estimatorRule) suspects() []string {
	var out []string
	for _, s := range r.Suspects() {
		out = append(out, s.Target)
	}
	return out
}

// failureThreshold is the number of failures after which the baseline rules
// decide.
const failureThreshold = 3

// failureCountRule counts failures: a job that has failed 3 times is
// impossible, and a target that has failed 3 times in a row is bad.
type failureCountRule struct {
	jobs    map[string]int
	targets map[string]int
}

func newFailureCountRule() *failureCountRule {
	return &failureCountRule{jobs: map[string]int{}, targets: map[string]int{}}
}

func (r *failureCountRule) add(a Attempt) {
	if !a.Failed {
		r.targets[a.Target] = 0
		return
	}
	r.jobs[a.Job]++
	r.targets[a.Target]++
}

func (r *failureCountRule) impossible(job string) bool { return r.jobs[job] >= failureThreshold }

func (r *failureCountRule) suspects() []string {
	var out []string
	for target, failures := range r.targets {
		if failures >= failureThreshold {
			out = append(out, target)
		}
	}
	slices.Sort(out)
	return out
}

// errorRateRule uses each target's latest starts: a target is bad if half of
// them or more failed, and a job that failed on targets that are not bad is
// impossible.
type errorRateRule struct {
	recentFailures map[string][]bool
	jobs           map[string][]string
}

const errorRateWindow = 8

func newErrorRateRule() *errorRateRule {
	return &errorRateRule{recentFailures: map[string][]bool{}, jobs: map[string][]string{}}
}

func (r *errorRateRule) add(a Attempt) {
	recent := append(r.recentFailures[a.Target], a.Failed)
	r.recentFailures[a.Target] = recent[max(0, len(recent)-errorRateWindow):]
	if a.Failed {
		r.jobs[a.Job] = append(r.jobs[a.Job], a.Target)
	}
}

func (r *errorRateRule) isBad(target string) bool {
	failed := 0
	for _, f := range r.recentFailures[target] {
		failed += boolToInt(f)
	}
	return len(r.recentFailures[target]) >= errorRateWindow/2 && 2*failed >= len(r.recentFailures[target])
}

func (r *errorRateRule) impossible(job string) bool {
	onGoodTargets := 0
	for _, target := range r.jobs[job] {
		onGoodTargets += boolToInt(!r.isBad(target))
	}
	return onGoodTargets >= failureThreshold
}

func (r *errorRateRule) suspects() []string {
	var out []string
	for target := range r.recentFailures {
		if r.isBad(target) {
			out = append(out, target)
		}
	}
	slices.Sort(out)
	return out
}
