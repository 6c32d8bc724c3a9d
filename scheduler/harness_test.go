package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// testFleet drives a scheduler in simulated time. Its workers execute requests at once
// and respond to every poll.
type testFleet struct {
	t             testing.TB
	s             *Scheduler
	now           time.Time
	workers       map[string]fleet.Worker
	runs          map[string]map[fleet.TaskID]*fakeRun
	finished      map[string][]fleet.FinishedRun
	finishedCount int64
	// startup is how long a long-running task takes to become ready.
	startup time.Duration
	// silent workers answer no polls, and their VMs are down.
	silent map[string]bool
	// maintainedUntil is until when the list shows VMs as under maintenance.
	maintainedUntil map[string]time.Time
	// attempts counts the runs of each task, recorded are the records that advance stored.
	attempts map[fleet.TaskID]int
	recorded []ledgerRecord
	// events counts the events that have been taken, by kind; unreadEvents are those since
	// the last call of readEvents.
	events       map[string]int
	unreadEvents []Event
	// runTime overrides how long the runs of a task take; nil for the estimate.
	runTime func(task fleet.TaskID) time.Duration
}

type fakeRun struct {
	attempt     int
	startedAt   time.Time
	until       time.Time
	longRunning bool
	// length is the work of the whole task, saved what the checkpoint of its start holds,
	// restore how long the run takes to resume from it.
	length, saved, restore time.Duration
	checkpointing          bool
}

// progress returns the work that the run has saved and done.
func (r *fakeRun) progress(now time.Time) time.Duration {
	return min(r.length, r.saved+max(0, now.Sub(r.startedAt)-r.restore))
}

const (
	testPool  = "desk"
	otherPool = "books"
	sparePool = "reserve"
)

func testManifest() *fleet.Manifest {
	queue := func(name, pool string) fleet.Queue {
		return fleet.Queue{Name: name, Pool: pool, MaxAttempts: 3, LatencyObjective: 600 * time.Millisecond, Stretch: 1.6}
	}
	return &fleet.Manifest{
		Version: 1,
		Queues:  []fleet.Queue{queue("desk", testPool), queue("books", otherPool)},
		Pools:   map[string]fleet.Pool{testPool: {Name: testPool}, otherPool: {Name: otherPool}, sparePool: {Name: sparePool, Spare: true}},
		Teams:   map[string]fleet.Team{"team": {Name: "team", Weight: 1, Cap: fleet.Resources{MilliCPU: 6000}}},
	}
}

func newTestFleet(t testing.TB) *testFleet {
	f := &testFleet{t: t, now: time.UnixMilli(1_700_000_000_000), workers: map[string]fleet.Worker{}, attempts: map[fleet.TaskID]int{}, silent: map[string]bool{}, maintainedUntil: map[string]time.Time{}, events: map[string]int{},
		runs: map[string]map[fleet.TaskID]*fakeRun{}, finished: map[string][]fleet.FinishedRun{}}
	f.s = f.newLeader(1)
	return f
}

// newLeader returns the scheduler of a new leader without any jobs.
func (f *testFleet) newLeader(token int64) *Scheduler {
	s := New(Config{FencingToken: token, LeaseDuration: 4 * time.Second, MaxLease: 6 * time.Second, PreviousLeaderWindow: 3 * time.Second, MaxStopTime: 200 * time.Millisecond, MaintenanceTime: 2 * time.Second}, f.now)
	s.SetManifest(testManifest(), f.now)
	s.SetWorkers(f.workers, f.now)
	return s
}

func (f *testFleet) addWorker(id, pool string, cores int64) {
	f.workers[id] = fleet.Worker{ID: id, Address: "10.0.0.1:1", Pool: pool, Labels: []string{"a", "r-" + id},
		Capacity: fleet.Resources{MilliCPU: cores * 1000, MemMB: 64_000}, StartedAtMillis: 1}
	f.runs[id] = map[fleet.TaskID]*fakeRun{}
	f.s.SetWorkers(f.workers, f.now)
}

// addVM adds a worker on a VM of its own.
func (f *testFleet) addVM(name, pool string, cores int64) {
	f.addWorker("w-"+name, pool, cores)
}

// listVMs passes the list of VMs, one per worker, to the scheduler.
func (f *testFleet) listVMs() { f.s.SetVMs(f.vms(), f.now, f.now) }

func (f *testFleet) vms() []fleet.VM {
	var list []fleet.VM
	for id, w := range f.workers {
		v := fleet.VM{Name: id[2:], Pool: w.Pool, State: fleet.VMUp, AvailabilityZone: w.AvailabilityZone, Labels: w.Labels, Capacity: w.Capacity, WorkerID: id}
		if f.now.Before(f.maintainedUntil[v.Name]) {
			v.State, v.WorkerID = fleet.VMInMaintenance, ""
		} else if f.silent[id] {
			v.State, v.WorkerID = fleet.VMDown, ""
		}
		list = append(list, v)
	}
	return list
}

func (f *testFleet) newJob(id string, steps ...fleet.Step) *fleet.Submission {
	for i := range steps {
		if steps[i].Count == 0 {
			steps[i].Count = 1
		}
		if steps[i].Need.MilliCPU == 0 {
			steps[i].Need.MilliCPU = 1000
		}
	}
	return &fleet.Submission{ID: id, Queue: "desk", Steps: steps, ArrivedMillis: f.now.UnixMilli()}
}

// poll lets the worker respond to a poll.
func (f *testFleet) poll(id string) {
	request, known := f.s.PreparePoll(id, f.now, true)
	if !known {
		return
	}
	if f.silent[id] {
		f.s.HandlePollFailure(f.s.workers[id].endpoint(), unknownOutcome(), f.now)
		return
	}
	status := fleet.WorkerStatus{ClockMillis: f.now.UnixMilli(), StartedAtMillis: f.workers[id].StartedAtMillis}
	remaining := f.finished[id][:0]
	for _, finished := range f.finished[id] {
		if finished.Number > request.RecordedThrough {
			remaining = append(remaining, finished)
		}
	}
	f.finished[id] = remaining
	for task, run := range f.runs[id] {
		if !run.longRunning && !f.now.Before(run.until) {
			f.finishRun(id, task, fleet.RunDone)
		}
	}
	for task, run := range f.runs[id] {
		status.Active = append(status.Active, fleet.ActiveRun{Task: task, Attempt: run.attempt, Percent: f.percent(run)})
	}
	status.Finished = append(status.Finished, f.finished[id]...)
	f.s.HandleStatus(id, &status, f.now, f.now)
}

func (f *testFleet) percent(run *fakeRun) int {
	switch {
	case run.longRunning && f.now.Sub(run.startedAt) < f.startup:
		return 50
	case run.longRunning || run.length == 0:
		return 100
	default:
		return int(100 * run.progress(f.now) / run.length)
	}
}

func (f *testFleet) finishRun(id string, task fleet.TaskID, outcome fleet.RunOutcome) {
	f.finishedCount++
	run := f.runs[id][task]
	finished := fleet.FinishedRun{Number: f.finishedCount, Task: task, Attempt: run.attempt, Outcome: outcome}
	if run.checkpointing {
		finished.Checkpoint = run.progress(f.now).String()
	}
	f.finished[id] = append(f.finished[id], finished)
	delete(f.runs[id], task)
}

// applyBatches stores all decisions and lets the workers execute them at once.
func (f *testFleet) applyBatches() []ledgerRecord {
	var out []ledgerRecord
	for range 8 {
		f.takeEvents()
		batch := f.s.TakeBatch()
		if batch.Empty() {
			return out
		}
		for _, r := range batch.Records {
			out = append(out, ledgerRecord(r))
		}
		for _, stop := range batch.Stops {
			if run, exists := f.runs[stop.Endpoint.WorkerID][stop.Task]; exists && run.attempt <= stop.Attempt {
				f.finishRun(stop.Endpoint.WorkerID, stop.Task, fleet.RunStopped)
			}
			f.s.HandleStopResponse(&stop, nil, f.now)
		}
		for _, start := range f.s.HandleBatchPersisted(batch.Number, f.now) {
			f.startRun(start)
			f.s.HandleStartResponse(&start.Request, start.Endpoint, nil, f.now)
		}
	}
	return out
}

// takeEvents counts the events by kind.
func (f *testFleet) takeEvents() {
	for _, e := range f.s.TakeEvents() {
		f.events[e.Kind]++
		f.unreadEvents = append(f.unreadEvents, e)
	}
}

// readEvents returns the events since the last call.
func (f *testFleet) readEvents() []Event {
	f.takeEvents()
	out := f.unreadEvents
	f.unreadEvents = nil
	return out
}

type ledgerRecord fleet.Record

func (f *testFleet) startRun(start StartRequest) {
	id := start.Endpoint.WorkerID
	for other, runs := range f.runs {
		_, exists := runs[start.Request.Task]
		require.False(f.t, exists, "%s runs on %s and starts on %s", start.Request.Task, other, id)
	}
	f.attempts[start.Request.Task]++
	t := f.s.findTask(start.Request.Task)
	length := t.step.def.Estimate()
	if f.runTime != nil {
		length = f.runTime(start.Request.Task)
	}
	run := &fakeRun{attempt: start.Request.Attempt, startedAt: f.now, longRunning: t.step.def.LongRunning, length: length, checkpointing: t.step.def.Checkpointing}
	if start.Request.Checkpoint != "" {
		saved, err := time.ParseDuration(start.Request.Checkpoint)
		require.NoError(f.t, err)
		run.saved, run.restore = saved, f.s.cfg.RestoreTime
	}
	run.until = f.now.Add(run.restore + length - run.saved)
	f.runs[id][start.Request.Task] = run
	used := fleet.Resources{}
	for task := range f.runs[id] {
		used = used.Plus(f.s.findTask(task).resources())
	}
	require.True(f.t, f.workers[id].Capacity.Fits(used), "%s exceeds its capacity", id)
}

// advance advances the time in small steps and polls every worker in each.
func (f *testFleet) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for id := range f.workers {
			f.poll(id)
		}
		f.s.Tick(f.now)
		f.s.Place(f.now)
		f.recorded = append(f.recorded, f.applyBatches()...)
	}
}

// running counts the job's runs, by worker.
func (f *testFleet) running(job string) map[string]int {
	out := map[string]int{}
	for id, runs := range f.runs {
		for task := range runs {
			if task.Job == job {
				out[id]++
			}
		}
	}
	return out
}

func total(m map[string]int) int {
	sum := 0
	for _, n := range m {
		sum += n
	}
	return sum
}

func taskOf(job string, index int) fleet.TaskID { return fleet.TaskID{Job: job, Index: index} }

func jobID(i int) string { return fmt.Sprintf("%016x", i) }
