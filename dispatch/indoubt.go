package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	inDoubtPollInterval = 200 * time.Millisecond
	listTasksTimeout    = 500 * time.Millisecond
	// absenceProvenAfter is the time after which a start that the VM does not list
	// cannot begin any more: its slot lease has lapsed and the VM's record has
	// caught up.
	absenceProvenAfter = 4 * time.Second
)

// InDoubtSet holds the starts whose end is not known. Each keeps its unit of the
// team's allotment until the VM's own record shows that it does not run.
type InDoubtSet struct {
	workers provider.Workers
	clock   clockwork.Clock
	release func(team, holder string)

	mu    sync.Mutex
	tasks map[inDoubtKey]inDoubtTask
}

type inDoubtKey struct {
	id      string
	attempt int
}

type inDoubtTask struct {
	team    string
	holder  string
	address string
	since   time.Time
}

// NewInDoubtSet returns an empty limbo. Release is called once per settled start.
func NewInDoubtSet(workers provider.Workers, clock clockwork.Clock, release func(team, holder string)) *InDoubtSet {
	return &InDoubtSet{workers: workers, clock: clock, release: release, tasks: make(map[inDoubtKey]inDoubtTask)}
}

// Add takes a start whose end is not known.
func (l *InDoubtSet) Add(task provider.Task, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := inDoubtKey{id: task.ID, attempt: task.Attempt}
	l.tasks[key] = inDoubtTask{team: task.Team, holder: task.Holder, address: address, since: l.clock.Now()}
}

// Len returns the number of starts whose end is not known.
func (l *InDoubtSet) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tasks)
}

// Run settles starts until the context ends.
func (l *InDoubtSet) Run(ctx context.Context) {
	periodic.Run(ctx, l.clock, inDoubtPollInterval, l.resolveAll)
}

func (l *InDoubtSet) resolveAll(ctx context.Context) {
	var wg sync.WaitGroup
	for address := range l.addresses() {
		wg.Go(func() { l.resolve(ctx, address) })
	}
	wg.Wait()
}

func (l *InDoubtSet) addresses() map[string]struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]struct{})
	for _, task := range l.tasks {
		out[task.address] = struct{}{}
	}
	return out
}

// resolve asks one VM for its record and releases what does not run there.
func (l *InDoubtSet) resolve(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, listTasksTimeout)
	defer cancel()
	asked := l.clock.Now()
	list, err := l.workers.ListTasks(ctx, address)
	if err != nil {
		return
	}
	states := make(map[inDoubtKey]provider.TaskState, len(list.Tasks))
	for _, task := range list.Tasks {
		states[inDoubtKey{id: task.ID, attempt: task.Attempt}] = task.State
	}
	for key, task := range l.tasksAt(address) {
		state, listed := states[key]
		if state == provider.TaskRunning {
			continue
		}
		if !listed && asked.Sub(task.since) < absenceProvenAfter {
			continue
		}
		l.remove(key, task)
	}
}

func (l *InDoubtSet) tasksAt(address string) map[inDoubtKey]inDoubtTask {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[inDoubtKey]inDoubtTask)
	for key, task := range l.tasks {
		if task.address == address {
			out[key] = task
		}
	}
	return out
}

func (l *InDoubtSet) remove(key inDoubtKey, task inDoubtTask) {
	l.mu.Lock()
	_, ok := l.tasks[key]
	delete(l.tasks, key)
	l.mu.Unlock()
	if ok {
		l.release(task.team, task.holder)
	}
}
