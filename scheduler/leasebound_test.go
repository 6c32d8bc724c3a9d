package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// lostAfter makes the worker miss all polls from now on, and returns how long the task is
// kept on it.
func (f *testFleet) lostAfter(id string, t *task) time.Duration {
	f.s.HandlePollFailure(f.s.workers[id].endpoint(), unknownOutcome(), f.now)
	from := f.now
	for t.phase == starting || t.phase == running {
		f.now = f.now.Add(10 * time.Millisecond)
		require.Less(f.t, f.now.Sub(from), time.Minute, "the task is never given up")
		f.s.Tick(f.now)
	}
	return f.now.Sub(from)
}

// requireBound checks that the task is kept until a lease of the length must have expired on
// the slowest clock, and is given up soon after.
func requireBound(t *testing.T, lease, kept time.Duration) {
	t.Helper()
	require.Greater(t, kept, lease*102/100, "the run may still exist")
	require.Less(t, kept, lease*104/100+200*time.Millisecond, "the task waits too long")
}

// TestLease_StartReachesLaterIncarnation guards against a second run of a task that was
// started with the clock of its worker's earlier incarnation: the later one's lease lasts as long
// as the platform allows. Either its status or the response to the start shows it.
func TestLease_StartReachesLaterIncarnation(t *testing.T) {
	for name, discover := range map[string]func(f *testFleet, start *StartRequest){
		"by a status": func(f *testFleet, start *StartRequest) {
			f.restart(start.Endpoint.WorkerID)
			f.startRun(*start)
			f.poll(start.Endpoint.WorkerID)
		},
		"by the list": func(f *testFleet, start *StartRequest) {
			f.restart(start.Endpoint.WorkerID)
			f.s.SetWorkers(f.workers, f.now)
		},
		"by the response": func(f *testFleet, start *StartRequest) {
			const clockOfLaterIncarnation = 100
			f.s.HandleLease(start.Endpoint.WorkerID, start.Request.DeadlineMillis, clockOfLaterIncarnation, f.now)
			f.s.HandleStartResponse(&start.Request, start.Endpoint, nil, f.now)
		},
		"by a refusal": func(f *testFleet, start *StartRequest) {
			const clockOfLaterIncarnation = 100
			f.s.HandleLease(start.Endpoint.WorkerID, start.Request.DeadlineMillis, clockOfLaterIncarnation, f.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := twoWorkers(t)
			f.advance(4 * time.Second)
			start := f.placeJob("j")
			discover(f, &start)
			kept := f.lostAfter(start.Endpoint.WorkerID, f.s.findTask(start.Request.Task))
			requireBound(t, f.s.cfg.MaxLease, kept)
		})
	}
}

// TestLease_StartAnsweredByItsIncarnation checks that a worker that has not restarted keeps
// the bound that the leader meant to give.
func TestLease_StartAnsweredByItsIncarnation(t *testing.T) {
	f := twoWorkers(t)
	f.advance(4 * time.Second)
	start := f.placeJob("j")
	id := start.Endpoint.WorkerID
	f.s.HandleLease(id, start.Request.DeadlineMillis, f.s.workers[id].estimatedClock(f.now), f.now)
	f.s.HandleStartResponse(&start.Request, start.Endpoint, nil, f.now)
	requireBound(t, f.s.cfg.LeaseDuration, f.lostAfter(id, f.s.findTask(start.Request.Task)))
}

// TestLease_TakeoverAfterRestart guards against a second run of a task on a worker that has
// restarted shortly before a takeover, and then answers no poll: an earlier leader may have
// extended its lease by the clock of the earlier incarnation.
func TestLease_TakeoverAfterRestart(t *testing.T) {
	const long, lately = time.Hour, time.Second
	for name, c := range map[string]struct {
		age              time.Duration
		replaced, listed bool
		wantLong         bool
	}{
		"long ago":                        {long, true, true, false},
		"lately":                          {lately, true, true, true},
		"lately, as the assignment tells": {lately, true, false, true},
		"lately, for the first time":      {lately, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			started := f.now.Add(-c.age).UnixMilli()
			f.addWorker("w-1", testPool, 4)
			w := f.workers["w-1"]
			w.StartedAtMillis = started
			f.workers["w-1"] = w
			if !c.replaced {
				f.s = f.newLeader(1)
			}
			f.s.SetWorkers(f.workers, f.now)
			f.advance(100 * time.Millisecond)
			sub := f.newJob("j", fleet.Step{EstimateMillis: secondsToMillis(60)})
			f.s.Submit(sub, f.now)
			f.s.Place(f.now)
			records := f.applyBatches()
			if !c.listed {
				w.StartedAtMillis = f.now.Add(-long).UnixMilli()
				f.workers["w-1"] = w
			}
			f.takeover(records, sub)
			bound := f.s.cfg.PreviousLeaderWindow + f.s.cfg.LeaseDuration
			if c.wantLong {
				bound = f.s.cfg.PreviousLeaderWindow + f.s.cfg.MaxLease
			}
			requireBound(t, bound, f.lostAfter("w-1", f.s.findTask(taskOf("j", 0))))
		})
	}
}

// TestLease_RequestInFlightAtTheReplacement guards against a lease that a request without a
// response has extended on the later incarnation, after a status has shown it.
func TestLease_RequestInFlightAtTheReplacement(t *testing.T) {
	f := twoWorkers(t)
	f.advance(4 * time.Second)
	start := f.placeJob("j")
	id := start.Endpoint.WorkerID
	f.restart(id)
	f.startRun(start)
	f.poll(id)
	f.now = f.now.Add(2 * time.Second)
	f.s.HandleLeaseInDoubt(start.Endpoint, start.Request.DeadlineMillis, f.now)
	requireBound(t, f.s.cfg.MaxLease, f.lostAfter(id, f.s.findTask(start.Request.Task)))
}

// TestLease_FirstPollOfLaterIncarnation guards against a lease that a request has extended after
// the later incarnation was seen, and before it has answered a poll under its own token: until
// then it executes what was sent to the one before.
func TestLease_FirstPollOfLaterIncarnation(t *testing.T) {
	f := twoWorkers(t)
	f.advance(4 * time.Second)
	start := f.placeJob("j")
	id := start.Endpoint.WorkerID
	f.restart(id)
	f.startRun(start)
	shown := fleet.WorkerStatus{ClockMillis: 100, StartedAtMillis: f.workers[id].StartedAtMillis, Active: []fleet.ActiveRun{{Task: start.Request.Task, Attempt: 1}}}
	f.s.HandleStatus(id, &shown, f.now.Add(-time.Millisecond), f.now) // It was sent under the earlier token.
	f.now = f.now.Add(500 * time.Millisecond)
	f.poll(id)
	requireBound(t, f.s.cfg.MaxLease, f.lostAfter(id, f.s.findTask(start.Request.Task)))
}
