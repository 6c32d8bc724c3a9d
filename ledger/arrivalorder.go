package ledger

import (
	"cmp"
	"slices"
)

// JobsByArrival returns the jobs in the order in which they arrived, those without a
// submission first: a new leader measures teams' rates in that order.
func (v *View) JobsByArrival() []*Job {
	out := make([]*Job, 0, len(v.Jobs))
	for _, j := range v.Jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.arrivedMillis(), b.arrivedMillis()), cmp.Compare(a.id(), b.id()))
	})
	return out
}

// arrivedMillis and id are zero for jobs without a submission.
func (j *Job) arrivedMillis() int64 {
	if j.Submission == nil {
		return 0
	}
	return j.Submission.ArrivedMillis
}

func (j *Job) id() string {
	if j.Submission == nil {
		return ""
	}
	return j.Submission.ID
}
