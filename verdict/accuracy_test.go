package verdict

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// maxErrorRate bounds the fraction of misclassified jobs that can run, jobs
// that cannot, good targets and bad ones, and the fraction of wrong verdicts of
// each kind.
const maxErrorRate = 0.01

const (
	simulationsPerMix = 20
	// firstSeed separates these simulations from those that the parameters were
	// fitted to.
	firstSeed = 1_000_000
)

var rules = []struct {
	name string
	make func() detectionRule
}{
	{"estimator", func() detectionRule { return estimatorRule{New(DefaultParams())} }},
	{"attempt count", func() detectionRule { return newFailureCountRule() }},
	{"error rate", func() detectionRule { return newErrorRateRule() }},
}

func faultMixes() []faultMix {
	var out []faultMix
	for _, bad := range []float64{0, 0.05, 0.1, 0.2} {
		for _, impossible := range []float64{0, 0.01, 0.05, 0.1} {
			for _, transient := range []float64{0.01, 0.05} {
				out = append(out, faultMix{bad: bad, impossible: impossible, transient: transient})
			}
		}
	}
	return append(out,
		faultMix{impossible: 0.1, transient: 0.05, batch: true},
		faultMix{bad: 0.1, impossible: 0.1, transient: 0.05, batch: true},
	)
}

func ratio(count, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(count) / float64(total)
}

// errorRates returns the fractions of wrong verdicts.
func (t tally) errorRates() map[string]float64 {
	return map[string]float64{
		"wrong among impossible verdicts": ratio(t.wrongJobs, t.wrongJobs+t.impossible-t.missedJobs),
		"wrong among bad verdicts":        ratio(t.wrongTargets, t.wrongTargets+t.bad-t.missedTargets),
		"possible jobs ended":             ratio(t.wrongJobs, t.possible),
		"impossible jobs missed":          ratio(t.missedJobs, t.impossible),
		"good targets quarantined":        ratio(t.wrongTargets, t.good),
		"bad targets missed":              ratio(t.missedTargets, t.bad),
	}
}

// TestEstimator_ErrorRates compares the verdicts in seeded simulations with the
// truth: the baseline rules exceed the maximum error rate, the estimator does
// not.
func TestEstimator_ErrorRates(t *testing.T) {
	total := make(map[string]tally)
	for i, m := range faultMixes() {
		for _, rule := range rules {
			var sum tally
			for n := range simulationsPerMix {
				sum.add(runSimulation(uint64(firstSeed+i*simulationsPerMix+n), m, rule.make()))
			}
			all := total[rule.name]
			all.add(sum)
			total[rule.name] = all
			t.Logf("%v: %s: %+v", m, rule.name, sum)
		}
	}
	for _, rule := range rules {
		all := total[rule.name]
		t.Logf("%s: %d starts, %d jobs, %d targets: %v", rule.name, all.starts, all.possible+all.impossible, all.good+all.bad, all.errorRates())
		highest := 0.0
		for name, rate := range all.errorRates() {
			highest = max(highest, rate)
			if rule.name == "estimator" {
				require.Less(t, rate, maxErrorRate, name)
			}
		}
		if rule.name != "estimator" {
			require.Greater(t, highest, maxErrorRate, "%s does not exceed the maximum error rate", rule.name)
		}
	}
}
