package fleetentry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// silentPolls leaves polls unanswered that acknowledge outcomes or extend leases, each once,
// and records the requests that repeat them.
type silentPolls struct {
	Workers
	mu      sync.Mutex
	silent  map[string]bool
	repeats []fleet.PollRequest
}

func (s *silentPolls) Poll(ctx context.Context, to fleet.Endpoint, request fleet.PollRequest, wait time.Duration) (fleet.WorkerStatus, error) {
	s.mu.Lock()
	repeated := s.silent[to.WorkerID]
	s.silent[to.WorkerID] = !repeated && (request.RecordedThrough > 0 || request.DeadlineMillis > 0)
	if repeated {
		s.repeats = append(s.repeats, request)
	}
	silent := s.silent[to.WorkerID]
	s.mu.Unlock()
	if silent {
		return fleet.WorkerStatus{}, &provider.Error{Op: "worker.look", Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	return s.Workers.Poll(ctx, to, request, wait)
}

// TestPoll_RepeatNamesNothingOfTheIncarnation guards against a repeated poll that reaches a
// worker which has restarted under its ID: the numbers of its earlier incarnation made it
// forget ends unseen, and that incarnation's clock granted a lease that was too long.
func TestPoll_RepeatNamesNothingOfTheIncarnation(t *testing.T) {
	t.Parallel()
	p := newTestPlatform(t, 0)
	polls := &silentPolls{silent: map[string]bool{}}
	p.wrapWorkers = func(w Workers) Workers {
		polls.Workers = w
		return polls
	}
	p.startEntry()
	p.leader()
	for range 3 {
		p.awaitState(p.submit("desk", emulator.JobBody("short", emulator.Step{Count: 3, MilliCPU: 1000, EstimateMillis: 100})), "completed")
	}
	polls.mu.Lock()
	defer polls.mu.Unlock()
	require.NotEmpty(t, polls.repeats)
	for _, request := range polls.repeats {
		require.Zero(t, request.RecordedThrough, "the repeat acknowledges outcomes by their numbers")
		require.Zero(t, request.DeadlineMillis, "the repeat extends leases by the worker's clock")
	}
}
