package load

import "sync"

// fate is what the callers of one task were told.
type taskOutcome struct {
	// once is set for work that runs at most once.
	atMostOnce bool
	// ran is set once an answer, a failure or an end said that the task ran.
	ran bool
	// mayHaveRun is set unless every submission was answered as not_run.
	mayHaveRun bool
}

// fates holds the fate of each task by its ID.
type outcomeTracker struct {
	mu    sync.Mutex
	tasks map[string]*taskOutcome
}

func newOutcomeTracker() *outcomeTracker {
	return &outcomeTracker{tasks: make(map[string]*taskOutcome)}
}

// told adds what one submission of the task was told. Work without an ID never
// reached a target that could have recorded it.
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

// against compares the fates with the workers' own account of starts.
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
