package load

import "sync"

// taskOutcome combines the outcomes reported to the callers of one task.
type taskOutcome struct {
	// atMostOnce is set for work that runs at most once.
	atMostOnce bool
	// ran is set once an answer or a failure shows that the task ran.
	ran bool
	// mayHaveRun is set unless every submission was answered with not_run.
	mayHaveRun bool
}

// outcomeTracker holds the reported outcomes by task ID.
type outcomeTracker struct {
	mu    sync.Mutex
	tasks map[string]*taskOutcome
}

func newOutcomeTracker() *outcomeTracker {
	return &outcomeTracker{tasks: make(map[string]*taskOutcome)}
}

// record adds the outcome of one submission of the task. Work without an ID never
// reached a VM that could have recorded it.
func (f *outcomeTracker) record(task string, once bool, outcome string) {
	if task == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.tasks[task]
	if known == nil {
		known = &taskOutcome{atMostOnce: once}
		f.tasks[task] = known
	}
	known.ran = known.ran || outcome == answered || outcome == failed
	known.mayHaveRun = known.mayHaveRun || outcome != notRun
}

// compareStarts compares the outcomes with the starts that the workers recorded.
func (f *outcomeTracker) compareStarts(starts map[string]int) (startedTwice, rejectedAndStarted, answeredNotStarted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, outcome := range f.tasks {
		count := starts[task]
		if outcome.atMostOnce && count > 1 {
			startedTwice++
		}
		if !outcome.mayHaveRun && count > 0 {
			rejectedAndStarted++
		}
		if outcome.ran && count == 0 {
			answeredNotStarted++
		}
	}
	return startedTwice, rejectedAndStarted, answeredNotStarted
}
