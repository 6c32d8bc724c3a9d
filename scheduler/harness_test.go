package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// bench drives a scheduler in simulated time. Its workers carry orders out at
// once and answer every look.
type bench struct {
	t     *testing.T
	s     *Scheduler
	now   time.Time
	fleet map[string]fleet.Worker
	runs  map[string]map[fleet.TaskID]*fakeRun
	ended map[string][]fleet.FinishedRun
	ends  int64
	// startup is how long a lasting task takes until it is at work.
	startup time.Duration
}

type fakeRun struct {
	attempt int
	began   time.Time
	until   time.Time
	lasting bool
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

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.UnixMilli(1_700_000_000_000), fleet: map[string]fleet.Worker{},
		runs: map[string]map[fleet.TaskID]*fakeRun{}, ended: map[string][]fleet.FinishedRun{}}
	b.s = b.newOwner(1)
	return b
}

// newOwner returns the scheduler of a new owner that has read nothing.
func (b *bench) newOwner(token int64) *Scheduler {
	s := New(Config{FencingToken: token, LeaseDuration: 4 * time.Second, PreviousLeaderLease: 7 * time.Second, MaxStopTime: 200 * time.Millisecond, MaintenanceTime: 2 * time.Second}, b.now)
	s.SetManifest(testManifest())
	s.SetWorkers(b.fleet, b.now)
	return s
}

func (b *bench) addWorker(id, pool string, cores int64) {
	b.fleet[id] = fleet.Worker{ID: id, Address: "10.0.0.1:1", Pool: pool, Labels: []string{"a", "r-" + id},
		Capacity: fleet.Resources{MilliCPU: cores * 1000, MemMB: 64_000}, StartedAtMillis: 1}
	b.runs[id] = map[fleet.TaskID]*fakeRun{}
	b.s.SetWorkers(b.fleet, b.now)
}

// addVM adds a worker on a VM of its own.
func (b *bench) addVM(name, pool string, cores int64) {
	b.addWorker("w-"+name, pool, cores)
}

// listVMs tells the scheduler of the VMs, one for each worker.
func (b *bench) listVMs() { b.s.SetVMs(b.vms(), b.now, b.now) }

func (b *bench) vms() []fleet.VM {
	var list []fleet.VM
	for id, w := range b.fleet {
		list = append(list, fleet.VM{Name: id[2:], Pool: w.Pool, State: fleet.VMUp, Labels: w.Labels, Capacity: w.Capacity, WorkerID: id})
	}
	return list
}

func (b *bench) job(id string, steps ...fleet.Step) *fleet.Submission {
	for i := range steps {
		if steps[i].Count == 0 {
			steps[i].Count = 1
		}
		if steps[i].Need.MilliCPU == 0 {
			steps[i].Need.MilliCPU = 1000
		}
	}
	return &fleet.Submission{ID: id, Queue: "desk", Steps: steps, ArrivedMillis: b.now.UnixMilli()}
}

// look lets the worker answer a look.
func (b *bench) look(id string) {
	order, known := b.s.PreparePoll(id, b.now, true)
	if !known {
		return
	}
	look := fleet.WorkerStatus{ClockMillis: b.now.UnixMilli(), StartedAtMillis: b.fleet[id].StartedAtMillis}
	kept := b.ended[id][:0]
	for _, end := range b.ended[id] {
		if end.Number > order.RecordedThrough {
			kept = append(kept, end)
		}
	}
	b.ended[id] = kept
	for task, run := range b.runs[id] {
		if !run.lasting && !b.now.Before(run.until) {
			b.end(id, task, fleet.RunDone)
		}
	}
	for task, run := range b.runs[id] {
		look.Active = append(look.Active, fleet.ActiveRun{Task: task, Attempt: run.attempt, Percent: b.percent(run)})
	}
	look.Finished = append(look.Finished, b.ended[id]...)
	b.s.HandleStatus(id, &look, b.now, b.now)
}

func (b *bench) percent(run *fakeRun) int {
	if run.lasting && b.now.Sub(run.began) < b.startup {
		return 50
	}
	return 100
}

func (b *bench) end(id string, task fleet.TaskID, how fleet.RunOutcome) {
	b.ends++
	b.ended[id] = append(b.ended[id], fleet.FinishedRun{Number: b.ends, Task: task, Attempt: b.runs[id][task].attempt, Outcome: how})
	delete(b.runs[id], task)
}

// carryOut stores what was decided and lets the workers do it at once.
func (b *bench) carryOut() []ledgerRecord {
	var out []ledgerRecord
	for range 8 {
		batch := b.s.TakeBatch()
		if batch.Empty() {
			return out
		}
		for _, r := range batch.Records {
			out = append(out, ledgerRecord(r))
		}
		for _, stop := range batch.Stops {
			if run, there := b.runs[stop.Endpoint.WorkerID][stop.Task]; there && run.attempt <= stop.Attempt {
				b.end(stop.Endpoint.WorkerID, stop.Task, fleet.RunStopped)
			}
			b.s.HandleStopResponse(&stop, nil, b.now)
		}
		for _, start := range b.s.HandleBatchPersisted(batch.Number, b.now) {
			b.begin(start)
			b.s.HandleStartResponse(&start.Request, start.Endpoint.WorkerID, nil, b.now)
		}
	}
	return out
}

type ledgerRecord fleet.Record

func (b *bench) begin(start StartRequest) {
	id := start.Endpoint.WorkerID
	for other, runs := range b.runs {
		_, there := runs[start.Request.Task]
		require.False(b.t, there, "%s runs on %s and starts on %s", start.Request.Task, other, id)
	}
	t := b.s.find(start.Request.Task)
	b.runs[id][start.Request.Task] = &fakeRun{attempt: start.Request.Attempt, began: b.now, until: b.now.Add(t.step.def.Estimate()), lasting: t.step.def.LongRunning}
	used := fleet.Resources{}
	for task := range b.runs[id] {
		used = used.Plus(b.s.find(task).need())
	}
	require.True(b.t, b.fleet[id].Capacity.Fits(used), "%s is over its room", id)
}

// pass lets time go by in small steps; every worker is looked at in each.
func (b *bench) pass(d time.Duration) {
	const each = 50 * time.Millisecond
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(each)
		for id := range b.fleet {
			b.look(id)
		}
		b.s.Tick(b.now)
		b.s.Place(b.now)
		b.carryOut()
	}
}

// running counts the job's runs, by worker.
func (b *bench) running(job string) map[string]int {
	out := map[string]int{}
	for id, runs := range b.runs {
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
