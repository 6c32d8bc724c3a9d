package job

// fairQueue hands out waiting jobs, each time one of the team that has the
// fewest under way.
type fairQueue struct {
	active  map[string]int
	waiting map[string][]openJob
}

func newFairQueue(active map[string]int) *fairQueue {
	return &fairQueue{active: active, waiting: make(map[string][]openJob)}
}

func (q *fairQueue) add(team string, job openJob) {
	q.waiting[team] = append(q.waiting[team], job)
}

// next returns the next job, or reports false if none waits.
func (q *fairQueue) next() (openJob, bool) {
	best, found := "", false
	for team := range q.waiting {
		less := q.active[team] < q.active[best] || (q.active[team] == q.active[best] && team < best)
		if !found || less {
			best, found = team, true
		}
	}
	if !found {
		return openJob{}, false
	}
	jobs := q.waiting[best]
	q.active[best]++
	q.waiting[best] = jobs[1:]
	if len(jobs) == 1 {
		delete(q.waiting, best)
	}
	return jobs[0], true
}
