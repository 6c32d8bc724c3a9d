package job

// fairQueue returns waiting jobs, each time one of the team with the fewest
// active jobs.
type fairQueue struct {
	active  map[string]int
	waiting map[string][]jobRef
}

func newFairQueue(active map[string]int) *fairQueue {
	return &fairQueue{active: active, waiting: make(map[string][]jobRef)}
}

func (q *fairQueue) add(team string, job jobRef) {
	q.waiting[team] = append(q.waiting[team], job)
}

// next removes and returns the next job, or reports false if none waits.
func (q *fairQueue) next() (jobRef, bool) {
	best, found := "", false
	for team := range q.waiting {
		fewer := q.active[team] < q.active[best] || (q.active[team] == q.active[best] && team < best)
		if !found || fewer {
			best, found = team, true
		}
	}
	if !found {
		return jobRef{}, false
	}
	jobs := q.waiting[best]
	q.active[best]++
	q.waiting[best] = jobs[1:]
	if len(jobs) == 1 {
		delete(q.waiting, best)
	}
	return jobs[0], true
}
