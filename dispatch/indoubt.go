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
	// absenceProvenAfter is the time after which a task that the VM does not
	// list can no longer start: its slot lease has expired and the VM's task
	// record has caught up.
	absenceProvenAfter = 4 * time.Second
)

// InDoubtSet holds the starts whose outcome is unknown. Each keeps its unit of
// the team's allotment until the VM's task record shows that it does not run.
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

// NewInDoubtSet returns an empty set. Each resolved start is passed to release.
func NewInDoubtSet(workers provider.Workers, clock clockwork.Clock, release func(team, holder string)) *InDoubtSet {
	return &InDoubtSet{workers: workers, clock: clock, release: release, tasks: make(map[inDoubtKey]inDoubtTask)}
}

// Add adds a start whose outcome is unknown.
func (s *InDoubtSet) Add(task provider.Task, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := inDoubtKey{id: task.ID, attempt: task.Attempt}
	s.tasks[key] = inDoubtTask{team: task.Team, holder: task.Holder, address: address, since: s.clock.Now()}
}

// Len returns the number of starts in doubt.
func (s *InDoubtSet) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tasks)
}

// Run resolves starts until the context ends.
func (s *InDoubtSet) Run(ctx context.Context) {
	periodic.Run(ctx, s.clock, inDoubtPollInterval, s.resolveAll)
}

func (s *InDoubtSet) resolveAll(ctx context.Context) {
	var wg sync.WaitGroup
	for address := range s.addresses() {
		wg.Go(func() { s.resolve(ctx, address) })
	}
	wg.Wait()
}

func (s *InDoubtSet) addresses() map[string]struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]struct{})
	for _, task := range s.tasks {
		out[task.address] = struct{}{}
	}
	return out
}

// resolve lists the tasks of one VM and releases the starts that do not run.
func (s *InDoubtSet) resolve(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, listTasksTimeout)
	defer cancel()
	queriedAt := s.clock.Now()
	list, err := s.workers.ListTasks(ctx, address)
	if err != nil {
		return
	}
	states := make(map[inDoubtKey]provider.TaskState, len(list.Tasks))
	for _, task := range list.Tasks {
		states[inDoubtKey{id: task.ID, attempt: task.Attempt}] = task.State
	}
	for key, task := range s.tasksAt(address) {
		state, listed := states[key]
		if state == provider.TaskRunning {
			continue
		}
		if !listed && queriedAt.Sub(task.since) < absenceProvenAfter {
			continue
		}
		s.remove(key, task)
	}
}

func (s *InDoubtSet) tasksAt(address string) map[inDoubtKey]inDoubtTask {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[inDoubtKey]inDoubtTask)
	for key, task := range s.tasks {
		if task.address == address {
			out[key] = task
		}
	}
	return out
}

func (s *InDoubtSet) remove(key inDoubtKey, task inDoubtTask) {
	s.mu.Lock()
	_, ok := s.tasks[key]
	delete(s.tasks, key)
	s.mu.Unlock()
	if ok {
		s.release(task.team, task.holder)
	}
}
