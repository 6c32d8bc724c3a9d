package job

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/provider/fakeworkers"
	"github.com/anvilcourse/anvilcourse/quarantine"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/verdict"
)

const (
	vms   = 4
	slots = 8
	teamA = "team-a"
	teamB = "team-b"
)

func vmID(i int) string { return fmt.Sprintf("vm-%d", i) }

// roundRobinSlots leases slots of the VMs in turn.
type roundRobinSlots struct {
	workers provider.Workers
	next    *atomic.Int64
}

func (s roundRobinSlots) Acquire(ctx context.Context, _ []string, avoid string) (*placement.LeasedSlot, error) {
	for range vms {
		id := vmID(int(s.next.Add(1)-1) % vms)
		if id == avoid {
			continue
		}
		lease, err := s.workers.AcquireSlot(ctx, id, provider.SlotRequest{Holder: "h", TTL: placement.LeaseTTL})
		if err == nil {
			target := &placement.Target{ID: id, Address: id}
			return &placement.LeasedSlot{Target: target, LeaseID: lease.ID, Record: lease.RecordID, Started: lease.TasksStarted}, nil
		}
	}
	return nil, placement.ErrNoSlot
}

func (s roundRobinSlots) Release(slot *placement.LeasedSlot) {
	_ = s.workers.ReleaseSlot(context.Background(), slot.Target.Address, slot.LeaseID)
}

func (s roundRobinSlots) MarkDraining(*placement.LeasedSlot) {}

type alwaysPermitted struct{}

func (alwaysPermitted) MayUseAllotment() bool { return true }

// entry is the runner of one entry, which can be killed.
type entry struct {
	*Runner
	name   string
	cancel context.CancelFunc
	killed atomic.Bool
	// killBeforeStart kills the entry before its next start.
	killBeforeStart atomic.Bool
	// unresponsive entries do not answer their peers.
	unresponsive atomic.Bool
	// pauseBeforeStart delays the entry before a start, in nanoseconds.
	pauseBeforeStart atomic.Int64
	log              *fakelog.Log
}

func (e *entry) kill() {
	e.killed.Store(true)
	e.cancel()
	e.log.SetFaults(func(f *fakelog.Faults) { f.Disconnected = append(f.Disconnected, e.name) })
}

// killableWorkers sends calls to the fleet until its entry is killed.
type killableWorkers struct {
	provider.Workers
	entry *entry
}

func (w killableWorkers) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	if w.entry.killBeforeStart.Load() {
		w.entry.kill()
	}
	if pause := w.entry.pauseBeforeStart.Swap(0); pause > 0 {
		w.entry.unresponsive.Store(true)
		time.Sleep(time.Duration(pause))
	}
	if w.entry.killed.Load() {
		return provider.Answer{}, &provider.Error{Op: "run", Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	return w.Workers.RunTask(ctx, address, task)
}

// testCluster is a set of entries that share one log and one fleet.
type testCluster struct {
	t       *testing.T
	log     *fakelog.Log
	fleet   *fakeworkers.Fleet
	entries []*entry
}

func newTestCluster(t *testing.T) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	clock := clockwork.NewRealClock()
	c := &testCluster{t: t, log: fakelog.New(clock), fleet: fakeworkers.New(clock)}
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * time.Hour)
	})
	for i := range vms {
		c.fleet.AddVM(vmID(i), slots)
	}
	var start []func()
	for _, name := range []string{"a", "b"} {
		start = append(start, c.addEntry(ctx, name, clock))
	}
	for _, run := range start {
		run()
	}
	time.Sleep(time.Second)
	return c
}

// addEntry adds an entry and returns the function that starts it.
func (c *testCluster) addEntry(ctx context.Context, name string, clock clockwork.Clock) func() {
	ctx, cancel := context.WithCancel(ctx)
	e := &entry{name: name, cancel: cancel, log: c.log}
	workers := killableWorkers{Workers: c.fleet, entry: e}
	detector := quarantine.NewDetector(verdict.DefaultParams(), clock)
	shards := logstream.NewShards("jobs", 2, logstream.Config{
		Writer: name, Log: c.log.ForClient(name), Clock: clock, Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
	})
	for _, stream := range shards.Streams() {
		stream.Observe(detector.Observe)
	}
	ledger := quota.NewLedger()
	ledger.SetAllotted(teamA, 1000)
	ledger.SetAllotted(teamB, 1000)
	gate := quota.NewGate(name, ledger, alwaysPermitted{}, clock)
	inDoubt := dispatch.NewInDoubtSet(workers, clock, gate.Release)
	e.Runner = New(Config{
		Incarnation: name, Shards: func() *logstream.Shards { return shards }, Workers: workers, Clock: clock, Peers: c.peersOf(e), Classifier: detector,
		Starter: dispatch.New(dispatch.Config{
			Incarnation: name, Slots: roundRobinSlots{workers: workers, next: &atomic.Int64{}}, Allotment: gate,
			Workers: workers, InDoubt: inDoubt, Clock: clock,
		}),
	})
	c.entries = append(c.entries, e)
	return func() {
		go shards.Run(ctx)
		go inDoubt.Run(ctx)
		go e.Run(ctx)
	}
}

func (c *testCluster) peersOf(self *entry) func() []string {
	return func() []string {
		var out []string
		for _, e := range c.entries {
			if e != self && !e.killed.Load() && !e.unresponsive.Load() {
				out = append(out, e.name)
			}
		}
		return out
	}
}

// accept submits a job through the first entry.
func (c *testCluster) accept(id, team string, idempotent bool, body string) {
	c.t.Helper()
	err := c.entries[0].Accept(context.Background(), &statemachine.JobAccept{
		ID: id, Team: team, Queue: "w.job", Pools: []string{"pool"}, Idempotent: idempotent, Body: []byte(body), BodyHash: body,
	})
	require.NoError(c.t, err)
}

// getJob reads a job through the last entry.
func (c *testCluster) getJob(id string) *statemachine.Job {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	job, err := c.entries[len(c.entries)-1].Get(ctx, id)
	require.NoError(c.t, err)
	return job
}

// awaitFinished waits until the job has finished and returns it.
func (c *testCluster) awaitFinished(id string) *statemachine.Job {
	c.t.Helper()
	for range 100_000 {
		if job := c.getJob(id); job.State.Finished() {
			return job
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("job %s has not finished: %+v", id, c.getJob(id))
	return nil
}

// awaitRunning waits until the VM has started the job and returns the VM's ID.
func (c *testCluster) awaitRunning(id string) string {
	c.t.Helper()
	for range 10_000 {
		job := c.getJob(id)
		if job.State == statemachine.JobRunning && c.fleet.StartCounts()[id] == job.Attempt {
			return job.Slot.Target
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("job %s is not running", id)
	return ""
}
