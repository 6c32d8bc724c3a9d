package scheduler

import "time"

// lateFactor is up to how many times its objective a job still earns something.
const lateFactor = 3

// rank orders steps with tasks to place.
type rank struct {
	priority int
	// class is 0 for work that lasts, 1 for what can be on time, 2 for what can
	// only be late and 3 for what comes too late for anyone.
	class int
	// score is smaller for what comes first within its class.
	score float64
	due   time.Time
	id    string
	index int
}

func (r rank) before(o rank) bool {
	switch {
	case r.class != o.class:
		return r.class < o.class
	case r.priority != o.priority:
		return r.priority < o.priority
	case r.score != o.score:
		return r.score < o.score
	case !r.due.Equal(o.due):
		return r.due.Before(o.due)
	case r.id != o.id:
		return r.id < o.id
	default:
		return r.index < o.index
	}
}

// rankOf ranks a step. When more work waits than a pool can finish in time, jobs
// that can still be on time come before those that cannot, and among them the
// ones that need the least work first: that finishes the most jobs in time.
func rankOf(st *step, now time.Time) rank {
	o := st.run
	r := rank{priority: o.job.queue.Priority, due: o.due, id: o.job.sub.ID, index: st.index}
	if o.job.lasting {
		if st.def.BestEffort {
			r.score = 1
		}
		return r
	}
	end := now.Add(o.remainingChain())
	deadline := o.deadline()
	allowed := deadline.Sub(o.due)
	switch {
	case !end.After(deadline):
		r.class = 1
	case !end.After(o.due.Add(lateFactor * allowed)):
		r.class = 2
	default:
		r.class = 3
	}
	r.score = float64(deadline.Add(-o.remainingChain()).UnixMilli())
	if r.class == 3 {
		r.score = 0
	}
	return r
}
