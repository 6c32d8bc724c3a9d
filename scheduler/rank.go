package scheduler

import "time"

// lateValueFactor is the multiple of its objective up to which a late job has value.
const lateValueFactor = 3

// rank orders the steps that have tasks to place.
type rank struct {
	priority int
	// class is 0 for long-running work, 1 for jobs that can be on time, 2 for jobs that
	// can only be late and 3 for jobs without any value left.
	class int
	// score is smaller for what comes first within its class.
	score float64
	due   time.Time
	id    string
	index int
}

func (r rank) before(other rank) bool {
	switch {
	case r.class != other.class:
		return r.class < other.class
	case r.priority != other.priority:
		return r.priority < other.priority
	case r.score != other.score:
		return r.score < other.score
	case !r.due.Equal(other.due):
		return r.due.Before(other.due)
	case r.id != other.id:
		return r.id < other.id
	default:
		return r.index < other.index
	}
}

// rankOf ranks a step. When more work waits than a pool can finish in time, jobs that
// can still be on time come before those that cannot, and among them those with the
// least slack come first.
func rankOf(st *step, now time.Time) rank {
	o := st.occurrence
	r := rank{priority: o.job.queue.Priority, due: o.due, id: o.job.sub.ID, index: st.index}
	if o.job.longRunning {
		if st.def.BestEffort {
			r.score = 1
		}
		return r
	}
	finish := now.Add(o.remainingCriticalPath())
	deadline := o.deadline()
	allowed := deadline.Sub(o.due)
	switch {
	case !finish.After(deadline):
		r.class = 1
	case !finish.After(o.due.Add(lateValueFactor * allowed)):
		r.class = 2
	default:
		r.class = 3
	}
	r.score = float64(deadline.Add(-o.remainingCriticalPath()).UnixMilli())
	if r.class == 3 {
		r.score = 0
	}
	return r
}
