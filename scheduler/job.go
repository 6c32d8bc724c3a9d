package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// job is one submission with its occurrences.
type job struct {
	sub   *fleet.Submission
	queue fleet.Queue
	// coreSeconds is computed once.
	coreSeconds float64
	// arrivedAt is when the job arrived, by the leader's clock.
	arrivedAt time.Time
	// longRunning jobs run until they are cancelled.
	longRunning bool
	// beganKnown reports that a run of the job has begun, beganStored that a record tells it.
	beganKnown, beganStored bool
	// finished jobs get no more starts.
	finished bool
	// occurrences holds the open occurrences by number: those that have started and are not
	// finished.
	occurrences map[int]*occurrence
	// All occurrences before finishedBefore have finished; a record tells it.
	// finishedOccurrences holds the numbers of the later ones that have.
	finishedBefore      int
	finishedOccurrences map[int]struct{}
	// nextOccurrence is the first one that has not started.
	nextOccurrence int
	// team is nil for clients without an API key; limit is the team's.
	team  *team
	limit fleet.Resources
	// beyond jobs arrived beyond their team's allowance.
	beyond bool
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	// finished reports that all tasks are done and that the job has counted it.
	finished bool
	// remainingTasks counts the tasks that are not done.
	remainingTasks int
	// wholePath and remainingPath are the longest paths through all steps and through the
	// unfinished ones. They are computed once while pathKnown is set and the number of
	// tasks that are not done is pathRemaining.
	wholePath, remainingPath time.Duration
	pathRemaining            int
	pathKnown                bool
	// remainingCoreSeconds is the estimate of the work that is not done.
	remainingCoreSeconds float64
}

// deadline returns until when the occurrence is on time.
func (o *occurrence) deadline() time.Time {
	o.computePaths()
	stretched := time.Duration(float64(o.wholePath) * o.job.queue.Stretch)
	return o.due.Add(stretched + o.job.queue.LatencyObjective)
}

// remainingCriticalPath returns the longest expected path through unfinished steps.
func (o *occurrence) remainingCriticalPath() time.Duration {
	o.computePaths()
	return o.remainingPath
}

// computePaths computes the paths anew if a step has ended or its runs have shown another
// duration: a round asks for them several times for each step that waits.
func (o *occurrence) computePaths() {
	if o.pathKnown && o.pathRemaining == o.remainingTasks {
		return
	}
	o.wholePath = o.longestPath(false)
	o.remainingPath = o.longestPath(true)
	o.pathKnown, o.pathRemaining = true, o.remainingTasks
}

// longestPath returns the longest path through the steps, or through the unfinished ones.
func (o *occurrence) longestPath(unfinished bool) time.Duration {
	longest := time.Duration(0)
	var buffer [16]time.Duration
	finishTimes := buffer[:0]
	for _, s := range o.steps {
		var start, duration time.Duration
		for _, dependency := range s.def.DependsOn {
			start = max(start, finishTimes[dependency])
		}
		if !unfinished || s.done < len(s.tasks) {
			duration = s.duration()
		}
		finishTimes = append(finishTimes, start+duration)
		longest = max(longest, start+duration)
	}
	return longest
}

// due returns when the occurrence may start.
func (j *job) due(occurrence int) time.Time {
	if j.sub.HasSchedule() {
		return j.sub.Due(occurrence)
	}
	return j.arrivedAt
}

// newOccurrence creates the steps and tasks of one occurrence.
func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number, due: j.due(number)}
	for i := range j.sub.Steps {
		def := &j.sub.Steps[i]
		s := &step{def: def, occurrence: o, index: i, tasksByWorker: map[string]int{}, pendingDependencies: len(def.DependsOn)}
		for n := 0; n < def.Count; n++ {
			id := fleet.TaskID{Job: j.sub.ID, Occurrence: number, Step: i, Index: n}
			s.tasks = append(s.tasks, &task{id: id, step: s, cpuPercent: 100})
		}
		s.waiting = def.Count
		o.remainingTasks += def.Count
		o.steps = append(o.steps, s)
		o.remainingCoreSeconds += def.CoreSeconds()
	}
	return o
}
