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
	// progress lets runs report how far they are; else they report their end at once.
	progress bool
	// attempts counts the runs of each task, recorded are the records that advance stored.
	attempts map[fleet.TaskID]int
	recorded []ledgerRecord
	// runTime overrides how long the runs of a task take; nil for the estimate.
	runTime func(task fleet.TaskID) time.Duration
}

type fakeRun struct {
	attempt     int
	startedAt   time.Time
	until       time.Time
	longRunning bool
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
	f := &testFleet{t: t, now: time.UnixMilli(1_700_000_000_000), workers: map[string]fleet.Worker{}, attempts: map[fleet.TaskID]int{},
		runs: map[string]map[fleet.TaskID]*fakeRun{}, finished: map[string][]fleet.FinishedRun{}}
	f.s = f.newLeader(1)
	return f
}

// newLeader returns the scheduler of a new leader without any jobs.
func (f *testFleet) newLeader(token int64) *Scheduler {
	s := New(Config{FencingToken: token, LeaseDuration: 4 * time.Second, PreviousLeaderLease: 7 * time.Second, MaxStopTime: 200 * time.Millisecond, MaintenanceTime: 2 * time.Second}, f.now)
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
		list = append(list, fleet.VM{Name: id[2:], Pool: w.Pool, State: fleet.VMUp, Labels: w.Labels, Capacity: w.Capacity, WorkerID: id})
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
	if run.longRunning && f.now.Sub(run.startedAt) < f.startup {
		return 50
	}
	if length := run.until.Sub(run.startedAt); f.progress && !run.longRunning && length > 0 {
		return int(min(100, 100*f.now.Sub(run.startedAt)/length))
	}
	return 100
}

func (f *testFleet) finishRun(id string, task fleet.TaskID, outcome fleet.RunOutcome) {
	f.finishedCount++
	f.finished[id] = append(f.finished[id], fleet.FinishedRun{Number: f.finishedCount, Task: task, Attempt: f.runs[id][task].attempt, Outcome: outcome})
	delete(f.runs[id], task)
}

// applyBatches stores all decisions and lets the workers execute them at once.
func (f *testFleet) applyBatches() []ledgerRecord {
	var out []ledgerRecord
	for range 8 {
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
	f.runs[id][start.Request.Task] = &fakeRun{attempt: start.Request.Attempt, startedAt: f.now, until: f.now.Add(length), longRunning: t.step.def.LongRunning}
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
