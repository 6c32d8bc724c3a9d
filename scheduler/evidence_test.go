package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// eventsOf returns the events of the kind since the last call.
func (f *testFleet) eventsOf(kind string) []Event {
	var out []Event
	for _, e := range f.readEvents() {
		if e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}

// TestEvents_RequeueNamesItsEvidence checks that the log tells by which decision, and on
// which evidence, a run was given up.
func TestEvents_RequeueNamesItsEvidence(t *testing.T) {
	cases := []struct {
		name   string
		giveUp func(f *testFleet, start StartRequest)
		want   []string
	}{
		{"restarted", func(f *testFleet, start StartRequest) {
			f.startRun(start)
			f.poll(start.Endpoint.WorkerID)
			f.restart(start.Endpoint.WorkerID)
			f.poll(start.Endpoint.WorkerID)
		}, []string{"incarnation 2 has appeared in a status", "incarnation 1, shown on 1", "list of workers 100 ms ago"}},
		{"listed as restarted", func(f *testFleet, start StartRequest) {
			f.startRun(start)
			f.poll(start.Endpoint.WorkerID)
			f.restart(start.Endpoint.WorkerID)
			f.s.SetWorkers(f.workers, f.now)
			require.Empty(f.t, f.eventsOf("task.requeued"), "the list alone proves no restart")
			f.now = f.now.Add(30 * time.Millisecond)
			f.poll(start.Endpoint.WorkerID)
		}, []string{"a poll does not show the run: sent 0 ms ago", "incarnation 2, shown on 1", "list of workers 30 ms ago"}},
		{"another worker", func(f *testFleet, start StartRequest) {
			f.s.HandlePollFailure(start.Endpoint, refusedWith(provider.CodeWrongIncarnation), f.now)
		}, []string{"another worker responds at its address", "incarnation 1, shown on 0"}},
		{"absent", func(f *testFleet, start StartRequest) {
			f.s.HandleStartResponse(&start.Request, start.Endpoint, nil, f.now)
			f.now = f.now.Add(30 * time.Millisecond)
			f.poll(start.Endpoint.WorkerID)
		}, []string{"a poll does not show the run: sent 0 ms ago, 30 ms after the run was confirmed"}},
		{"expired", func(f *testFleet, start StartRequest) {
			f.s.HandlePollFailure(start.Endpoint, unknownOutcome(), f.now)
			f.now = f.now.Add(8 * time.Second)
			f.s.Tick(f.now)
		}, []string{"the lease must have expired", "lease of 7000 ms granted 8100 ms ago", "confirmed never"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := twoWorkers(t)
			start := f.placeJob("j")
			f.readEvents()
			c.giveUp(f, start)
			events := f.eventsOf("task.requeued")
			require.Len(t, events, 1)
			require.Equal(t, start.Endpoint.WorkerID, events[0].Worker)
			for _, want := range c.want {
				require.Contains(t, events[0].Reason, want)
			}
		})
	}
}

// TestEvents_IgnoredOutcome checks that the log tells of each outcome without effect, and
// nothing of those that have one.
func TestEvents_IgnoredOutcome(t *testing.T) {
	f := twoWorkers(t)
	start := f.placeJob("j")
	f.startRun(start)
	f.poll(start.Endpoint.WorkerID)
	other := "w-1"
	if start.Endpoint.WorkerID == other {
		other = "w-2"
	}
	ends := func(outcome fleet.RunOutcome, tasks ...fleet.TaskID) *fleet.WorkerStatus {
		status := &fleet.WorkerStatus{StartedAtMillis: 1}
		for _, id := range tasks {
			f.finishedCount++
			status.Finished = append(status.Finished, fleet.FinishedRun{Number: f.finishedCount, Task: id, Attempt: 1, Outcome: outcome})
		}
		return status
	}
	f.readEvents()
	f.s.HandleStatus(other, ends(fleet.RunDone, start.Request.Task, taskOf("unknown", 0)), f.now, f.now)
	ignored := f.eventsOf("outcome.ignored")
	require.Len(t, ignored, 2)
	require.Equal(t, Event{Kind: "outcome.ignored", ID: "j.0.0.0", Worker: other, Attempt: 1, Reason: "done: the task is running with attempt 1 on " + start.Endpoint.WorkerID}, ignored[0])
	require.True(t, strings.HasSuffix(ignored[1].Reason, "the job is unknown"))
	require.Equal(t, "request", ignored[1].SubjectKind())
	f.s.HandleStatus(start.Endpoint.WorkerID, ends(fleet.RunDone, start.Request.Task), f.now, f.now)
	require.Empty(t, f.eventsOf("outcome.ignored"))
	f.s.HandleStatus(other, ends(fleet.RunStopped, start.Request.Task), f.now, f.now)
	require.Equal(t, "stopped: the job is finished", f.eventsOf("outcome.ignored")[0].Reason)
}

// TestEvents_RestoredOntoAnotherIncarnation checks that the log tells where the stored
// assignment and the list of workers differ at a takeover.
func TestEvents_RestoredOntoAnotherIncarnation(t *testing.T) {
	f := restoredRun(t, twoWorkers(t).workers)
	events := f.eventsOf("task.restored")
	require.Len(t, events, 1)
	require.Equal(t, "assigned to incarnation 5, listed as 1", events[0].Reason)
}
