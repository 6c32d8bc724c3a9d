package scheduler

import "time"

const (
	// lateValueFactor is the multiple of its objective up to which a late job has value.
	lateValueFactor = 3
	// maxEstimateMargin is how much longer than estimated the remaining work of a job
	// may take, as a fraction: clients' estimates are off by up to half, and a step takes
	// as long as its slowest task.
	maxEstimateMargin = 0.5
	// fullMarginPressure is the pressure on a pool from which the whole margin applies.
	fullMarginPressure = 1.25
)

// rankClass is the coarse order of the work that waits, most urgent first.
type rankClass int

const (
	// classLongRunning is work that runs until it is cancelled.
	classLongRunning rankClass = iota
	// classOnTime is work of jobs that will be on time even if they take longer than
	// estimated.
	classOnTime
	// classTight is work of jobs that are on time only if the estimate holds.
	classTight
	// classLate is work of jobs that can only be late.
	classLate
	// classBeyond is work of jobs beyond their team's allowance that has value, while
	// the pool is under pressure.
	classBeyond
	// classWorthless is work of jobs that end too late to be of use.
	classWorthless
)

// rank orders the steps that have tasks to place.
type rank struct {
	priority int
	class    rankClass
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

// rankOf ranks a step, whose job may take longer than estimated by the margin. When more
// work waits than a pool can finish in time, jobs that can still be on time come before
// those that cannot, and among them those with the least slack come first.
//
// A queue's surge for some seconds is the load that the margin answers. With no margin,
// every job waits until its slack is used up, then takes longer than estimated, and
// nearly all of them are late; with it, those that the pool can serve are on time.
func rankOf(st *step, margin float64, now time.Time) rank {
	o := st.occurrence
	r := rank{priority: o.job.queue.Priority, due: o.due, id: o.job.sub.ID, index: st.index}
	if o.job.longRunning {
		r.class = classLongRunning
		if st.def.BestEffort {
			r.score = 1
		}
		return r
	}
	remaining := o.remainingCriticalPath()
	deadline := o.deadline()
	r.class = classOf(now.Add(remaining), time.Duration(margin*float64(remaining)), o.due, deadline)
	if o.job.beyond && margin > 0 {
		r.class = max(r.class, classBeyond)
	}
	if r.class != classWorthless {
		r.score = float64(deadline.Add(-remaining).UnixMilli())
	}
	return r
}

// estimateMargin returns the margin under a pressure on the pool, its demand as a
// multiple of its capacity: none where all can be served, as at the start of a turn
// whose VMs are on their way.
func estimateMargin(pressure float64) float64 {
	part := (pressure - 1) / (fullMarginPressure - 1)
	return maxEstimateMargin * min(1, max(0, part))
}

// classOf returns the class of a job that is estimated to finish at the given time, and
// may take longer by the margin.
func classOf(finish time.Time, margin time.Duration, due, deadline time.Time) rankClass {
	withMargin := finish.Add(margin)
	switch {
	case !withMargin.After(deadline):
		return classOnTime
	case !finish.After(deadline):
		return classTight
	case !withMargin.After(due.Add(lateValueFactor * deadline.Sub(due))):
		return classLate
	default:
		return classWorthless
	}
}
