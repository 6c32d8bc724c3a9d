package verdict

// targetNode is a target that has failed a job.
type targetNode struct {
	id       string
	relapsed bool
	// failures are those since the latest success, oldest first.
	failures []*failure
}

// independent reports whether the failures of the target are more than those
// of one team's jobs that have run nowhere else, which tell nothing of the
// target.
func (t *targetNode) independent() bool {
	teams := make(map[string]struct{}, independentTeams)
	for _, f := range t.failures {
		teams[f.job.team] = struct{}{}
		if f.job.succeeded || len(teams) == independentTeams {
			return true
		}
	}
	return false
}

// clear takes the failures off the target, which has just succeeded.
func (t *targetNode) clear() {
	for _, f := range t.failures {
		f.cleared, f.bad = true, 0
	}
	t.failures = nil
}
