package verdict

import "math"

func logit(p float64) float64 {
	return math.Log(p / (1 - p))
}

func probability(logOdds float64) float64 {
	return 1 / (1 + math.Exp(-logOdds))
}

// weight is the logarithm of the factor by which a failure raises the odds of
// one cause. Other is the probability of the other cause.
func (p Params) weight(other float64) float64 {
	return -math.Log(other + (1-other)*p.TransientFailureProbability)
}

func (p Params) prior(t *targetNode) float64 {
	if t.relapsed {
		return p.RelapsedTargetPrior
	}
	return p.BadTargetPrior
}

// targetOdds returns the logarithm of the odds that the target is bad.
func (p Params) targetOdds(t *targetNode) float64 {
	sum := logit(p.prior(t))
	for _, f := range t.failures {
		sum += p.weight(f.impossible)
	}
	return sum
}

// jobOdds returns the logarithm of the odds that the job is impossible.
func (p Params) jobOdds(j *jobNode) float64 {
	sum := logit(p.ImpossibleJobPrior)
	for _, f := range j.failures {
		sum += p.weight(f.bad)
	}
	return sum
}

// tellJobs works out for each failure of the target how probable the target's
// fault is by its other failures.
func (p Params) tellJobs(t *targetNode) {
	odds := p.targetOdds(t)
	independent := t.independent()
	for _, f := range t.failures {
		f.bad = p.prior(t)
		if independent {
			f.bad = probability(odds - p.weight(f.impossible))
		}
	}
}

// tellTargets works out for each failure of the job how probable the job's
// fault is by its other failures.
func (p Params) tellTargets(j *jobNode) {
	odds := p.jobOdds(j)
	for _, f := range j.failures {
		f.impossible = probability(odds - p.weight(f.bad))
	}
}
