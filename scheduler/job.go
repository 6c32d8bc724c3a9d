package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// job is one submission with the occurrences that are under way.
type job struct {
	sub   *fleet.Submission
	queue fleet.Queue
	// priority, chain and work are worked out once.
	chain time.Duration
	work  float64
	// lasting jobs run until they are cancelled.
	lasting bool
	// ended jobs get no more starts.
	ended bool
	// live holds the occurrences that are not finished, by number.
	live map[int]*occurrence
	// nextOccurrence is the next one to become due.
	nextOccurrence int
	finished       int
	// team is nil for callers without a key.
	team *team
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	// left counts the tasks that are not done.
	left int
	// remaining is the estimated work that is not done, in core-seconds.
	remaining float64
}

// deadline returns when the occurrence stops being on time.
func (o *occurrence) deadline() time.Time {
	stretched := time.Duration(float64(o.job.chain) * o.job.queue.Stretch)
	return o.due.Add(stretched + o.job.queue.LatencyObjective)
}

// remainingChain returns the longest estimated path through what is not done.
func (o *occurrence) remainingChain() time.Duration {
	longest := time.Duration(0)
	var ends [16]time.Duration
	all := ends[:0]
	for _, s := range o.steps {
		var start, own time.Duration
		for _, before := range s.def.DependsOn {
			start = max(start, all[before])
		}
		if s.done < len(s.tasks) {
			own = s.def.Estimate()
		}
		all = append(all, start+own)
		longest = max(longest, start+own)
	}
	return longest
}

// newOccurrence builds the steps and tasks of one pass.
func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number, due: j.sub.Due(number)}
	for i := range j.sub.Steps {
		def := &j.sub.Steps[i]
		s := &step{def: def, run: o, index: i, onWorker: map[string]int{}, blockers: len(def.DependsOn)}
		for n := 0; n < def.Count; n++ {
			id := fleet.TaskID{Job: j.sub.ID, Occurrence: number, Step: i, Index: n}
			s.tasks = append(s.tasks, &task{id: id, step: s, pace: 100})
		}
		s.waiting = def.Count
		o.left += def.Count
		o.steps = append(o.steps, s)
		o.remaining += def.CoreSeconds()
	}
	return o
}
