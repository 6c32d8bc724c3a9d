package load

import "sync"

// fate is what the callers of one task were told.
type fate struct {
	// once is set for work that runs at most once.
	once bool
	// ran is set once an answer, a failure or an end said that the task ran.
	ran bool
	// mayHaveRun is set unless every submission was answered as not_run.
	mayHaveRun bool
}

// fates holds the fate of each task by its ID.
type fates struct {
	mu    sync.Mutex
	tasks map[string]*fate
}

func newFates() *fates {
	return &fates{tasks: make(map[string]*fate)}
}

// told adds what one submission of the task was told. Work without an ID never
// reached a target that could have recorded it.
func (f *fates) told(task string, once bool, outcome string) {
	if task == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.tasks[task]
	if known == nil {
		known = &fate{once: once}
		f.tasks[task] = known
	}
	known.ran = known.ran || outcome == answered || outcome == failed
	known.mayHaveRun = known.mayHaveRun || outcome != notRun
}

// against compares the fates with the workers' own account of starts.
func (f *fates) against(starts map[string]int) (twice, refusedAndRan, ranUnrecorded int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, told := range f.tasks {
		count := starts[task]
		if told.once && count > 1 {
			twice++
		}
		if !told.mayHaveRun && count > 0 {
			refusedAndRan++
		}
		if told.ran && count == 0 {
			ranUnrecorded++
		}
	}
	return twice, refusedAndRan, ranUnrecorded
}
