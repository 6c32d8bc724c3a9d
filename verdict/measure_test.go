package verdict

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// wrongShare is the target: of the jobs that can run, of those that cannot, of
// the good targets and of the bad ones, less than this part is misjudged, and
// of the verdicts of each kind less than this part is wrong.
const wrongShare = 0.01

const (
	schedulesPerMix = 20
	// firstSeed keeps the schedules apart from those that the parameters were set
	// by.
	firstSeed = 1_000_000
)

var rules = []struct {
	name string
	make func() judge
}{
	{"evidence", func() judge { return byEvidence{New(DefaultParams())} }},
	{"attempt count", func() judge { return newByCount() }},
	{"error rate", func() judge { return newByRate() }},
}

func mixes() []mix {
	var out []mix
	for _, bad := range []float64{0, 0.05, 0.1, 0.2} {
		for _, impossible := range []float64{0, 0.01, 0.05, 0.1} {
			for _, transient := range []float64{0.01, 0.05} {
				out = append(out, mix{bad: bad, impossible: impossible, transient: transient})
			}
		}
	}
	return append(out,
		mix{impossible: 0.1, transient: 0.05, batch: true},
		mix{bad: 0.1, impossible: 0.1, transient: 0.05, batch: true},
	)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// shares returns the parts of wrong verdicts.
func (t tally) shares() map[string]float64 {
	return map[string]float64{
		"wrong of those called impossible": share(t.wrongJobs, t.wrongJobs+t.impossible-t.missedJobs),
		"wrong of those called bad":        share(t.wrongTargets, t.wrongTargets+t.bad-t.missedTargets),
		"possible jobs ended":              share(t.wrongJobs, t.possible),
		"impossible jobs missed":           share(t.missedJobs, t.impossible),
		"good targets quarantined":         share(t.wrongTargets, t.good),
		"bad targets missed":               share(t.missedTargets, t.bad),
	}
}

// TestEvidence_WrongVerdicts holds the verdicts of fixed schedules against the
// truth: the naive rules misjudge more than the target, the evidence does not.
func TestEvidence_WrongVerdicts(t *testing.T) {
	total := make(map[string]tally)
	for i, m := range mixes() {
		for _, rule := range rules {
			var sum tally
			for n := range schedulesPerMix {
				sum.add(runSchedule(uint64(firstSeed+i*schedulesPerMix+n), m, rule.make()))
			}
			all := total[rule.name]
			all.add(sum)
			total[rule.name] = all
			t.Logf("%v: %s: %+v", m, rule.name, sum)
		}
	}
	for _, rule := range rules {
		all := total[rule.name]
		t.Logf("%s: %d starts, %d jobs, %d targets: %v", rule.name, all.starts, all.possible+all.impossible, all.good+all.bad, all.shares())
		worst := 0.0
		for name, part := range all.shares() {
			worst = max(worst, part)
			if rule.name == "evidence" {
				require.Less(t, part, wrongShare, name)
			}
		}
		if rule.name != "evidence" {
			require.Greater(t, worst, wrongShare, "%s does not break the target", rule.name)
		}
	}
}
