package verdict

// targetNode is a target on which a job has failed.
type targetNode struct {
	id       string
	relapsed bool
	// failures are those since the latest success, oldest first.
	failures []*failure
}

// hasIndependentFailures reports whether the target has failures beyond those
// of one team's jobs that have not succeeded elsewhere, which say nothing about
// the target.
func (t *targetNode) hasIndependentFailures() bool {
	teams := make(map[string]struct{}, minIndependentTeams)
	for _, f := range t.failures {
		teams[f.job.team] = struct{}{}
		if f.job.succeeded || len(teams) == minIndependentTeams {
			return true
		}
	}
	return false
}

// clearFailures removes the failures of the target, which has just succeeded.
func (t *targetNode) clearFailures() {
	for _, f := range t.failures {
		f.cleared, f.badProbability = true, 0
	}
	t.failures = nil
}
