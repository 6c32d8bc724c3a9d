package verdict

import "math"

func logit(p float64) float64 {
	return math.Log(p / (1 - p))
}

func probability(logOdds float64) float64 {
	return 1 / (1 + math.Exp(-logOdds))
}

// logBayesFactor is the logarithm of the factor by which a failure raises the
// odds of one cause, given the probability of the other cause.
func (p Params) logBayesFactor(otherCause float64) float64 {
	return -math.Log(otherCause + (1-otherCause)*p.TransientFailureProbability)
}

func (p Params) badPrior(t *targetNode) float64 {
	if t.relapsed {
		return p.RelapsedTargetPrior
	}
	return p.BadTargetPrior
}

// badLogOdds returns the logarithm of the odds that the target is bad.
func (p Params) badLogOdds(t *targetNode) float64 {
	sum := logit(p.badPrior(t))
	for _, f := range t.failures {
		sum += p.logBayesFactor(f.impossibleProbability)
	}
	return sum
}

// impossibleLogOdds returns the logarithm of the odds that the job is
// impossible.
func (p Params) impossibleLogOdds(j *jobNode) float64 {
	sum := logit(p.ImpossibleJobPrior)
	for _, f := range j.failures {
		sum += p.logBayesFactor(f.badProbability)
	}
	return sum
}

// updateBadProbabilities computes for each failure of the target the
// probability that the target is bad, given its other failures.
func (p Params) updateBadProbabilities(t *targetNode) {
	logOdds := p.badLogOdds(t)
	independent := t.hasIndependentFailures()
	for _, f := range t.failures {
		f.badProbability = p.badPrior(t)
		if independent {
			f.badProbability = probability(logOdds - p.logBayesFactor(f.impossibleProbability))
		}
	}
}

// updateImpossibleProbabilities computes for each failure of the job the
// probability that the job is impossible, given its other failures.
func (p Params) updateImpossibleProbabilities(j *jobNode) {
	logOdds := p.impossibleLogOdds(j)
	for _, f := range j.failures {
		f.impossibleProbability = probability(logOdds - p.logBayesFactor(f.badProbability))
	}
}
