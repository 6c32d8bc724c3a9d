package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// TestRestart_ClockWentBack guards against a worker that is ignored as an earlier incarnation
// for good, because its time of day went back before it restarted under its ID.
func TestRestart_ClockWentBack(t *testing.T) {
	for name, listed := range map[string]bool{"a status shows it first": false, "at another address, the list shows it first": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			f.addWorker("w-1", testPool, 4)
			w := f.workers["w-1"]
			w.StartedAtMillis = 5000
			f.workers["w-1"] = w
			f.s.SetWorkers(f.workers, f.now)
			f.s.Submit(f.newJob("j", fleet.Step{EstimateMillis: secondsToMillis(60)}), f.now)
			f.advance(300 * time.Millisecond)
			require.Equal(t, 1, total(f.running("j")))
			w.StartedAtMillis = 3000
			f.runs["w-1"], f.finished["w-1"] = map[fleet.TaskID]*fakeRun{}, nil
			if listed {
				f.s.HandlePollFailure(f.s.workers["w-1"].endpoint(), unknownOutcome(), f.now)
				w.Address = "10.0.0.9:1"
			}
			f.workers["w-1"] = w
			f.now = f.now.Add(50 * time.Millisecond)
			f.s.SetWorkers(f.workers, f.now)
			require.Equal(t, listed, f.s.workers["w-1"].info.Address == "10.0.0.9:1")
			f.advance(100 * time.Millisecond)
			f.s.SetWorkers(f.workers, f.now) // The list is read again.
			f.advance(time.Second)
			require.Equal(t, 1, total(f.running("j")), "what ran on the worker does not run again")
			require.Equal(t, 2, f.s.findTask(taskOf("j", 0)).attempt)
		})
	}
}

// TestRestart_LateStatusOfAnEarlierIncarnation gives up nothing for a response that was sent
// for before the newest status was received.
func TestRestart_LateStatusOfAnEarlierIncarnation(t *testing.T) {
	f := twoWorkers(t)
	f.s.Submit(f.newJob("j", fleet.Step{EstimateMillis: secondsToMillis(60)}), f.now)
	f.advance(300 * time.Millisecond)
	id := f.workerOf(taskOf("j", 0))
	late := fleet.WorkerStatus{ClockMillis: 1, StartedAtMillis: f.workers[id].StartedAtMillis - 1}
	f.s.HandleStatus(id, &late, f.now.Add(-time.Millisecond), f.now.Add(time.Millisecond))
	f.advance(300 * time.Millisecond)
	require.Equal(t, 1, f.s.findTask(taskOf("j", 0)).attempt)
	require.Equal(t, map[string]int{id: 1}, f.running("j"))
}
