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

// roundRobin leases slots of the VMs in turn.
type roundRobin struct {
	workers provider.Workers
	next    *atomic.Int64
}

func (s roundRobin) Acquire(ctx context.Context, _ []string, avoid string) (*placement.LeasedSlot, error) {
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

func (s roundRobin) Release(h *placement.LeasedSlot) {
	_ = s.workers.ReleaseSlot(context.Background(), h.Target.Address, h.LeaseID)
}

func (s roundRobin) MarkDraining(*placement.LeasedSlot) {}

type permitted struct{}

func (permitted) MayUseAllotment() bool { return true }

// entry is one entry's runner, which can be killed.
type entry struct {
	*Runner
	name   string
	cancel context.CancelFunc
	dead   atomic.Bool
	// dieAtStart kills the entry before its next start.
	dieAtStart atomic.Bool
	// hidden entries do not answer the others.
	hidden atomic.Bool
	// pause holds the entry, in nanoseconds, before a start.
	pause atomic.Int64
	log   *fakelog.Log
}

func (e *entry) kill() {
	e.dead.Store(true)
	e.cancel()
	e.log.SetFaults(func(f *fakelog.Faults) { f.Disconnected = append(f.Disconnected, e.name) })
}

// mortal is the fleet as an entry that can be killed sees it.
type mortal struct {
	provider.Workers
	e *entry
}

func (m mortal) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	if m.e.dieAtStart.Load() {
		m.e.kill()
	}
	if pause := m.e.pause.Swap(0); pause > 0 {
		m.e.hidden.Store(true)
		time.Sleep(time.Duration(pause))
	}
	if m.e.dead.Load() {
		return provider.Answer{}, &provider.Error{Op: "run", Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	return m.Workers.RunTask(ctx, address, task)
}

// world is entries over one log and one fleet.
type world struct {
	t       *testing.T
	log     *fakelog.Log
	fleet   *fakeworkers.Fleet
	entries []*entry
}

func newWorld(t *testing.T) *world {
	ctx, cancel := context.WithCancel(context.Background())
	clock := clockwork.NewRealClock()
	w := &world{t: t, log: fakelog.New(clock), fleet: fakeworkers.New(clock)}
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * time.Hour)
	})
	for i := range vms {
		w.fleet.AddVM(vmID(i), slots)
	}
	var start []func()
	for _, name := range []string{"a", "b"} {
		start = append(start, w.add(ctx, name, clock))
	}
	for _, run := range start {
		run()
	}
	time.Sleep(time.Second)
	return w
}

// add adds an entry and returns what starts it.
func (w *world) add(ctx context.Context, name string, clock clockwork.Clock) func() {
	ctx, cancel := context.WithCancel(ctx)
	e := &entry{name: name, cancel: cancel, log: w.log}
	workers := mortal{Workers: w.fleet, e: e}
	judge := quarantine.NewDetector(verdict.DefaultParams(), clock)
	shards := logstream.NewShards("jobs", 2, logstream.Config{
		Writer: name, Log: w.log.ForClient(name), Clock: clock, Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
	})
	for _, stream := range shards.Streams() {
		stream.Observe(judge.Observe)
	}
	ledger := quota.NewLedger()
	ledger.SetAllotted(teamA, 1000)
	ledger.SetAllotted(teamB, 1000)
	gate := quota.NewGate(name, ledger, permitted{}, clock)
	limbo := dispatch.NewInDoubtSet(workers, clock, gate.Release)
	e.Runner = New(Config{
		Incarnation: name, Shards: func() *logstream.Shards { return shards }, Workers: workers, Clock: clock, Peers: w.others(e), Classifier: judge,
		Starter: dispatch.New(dispatch.Config{
			Incarnation: name, Slots: roundRobin{workers: workers, next: &atomic.Int64{}}, Allotment: gate,
			Workers: workers, InDoubt: limbo, Clock: clock,
		}),
	})
	w.entries = append(w.entries, e)
	return func() {
		go shards.Run(ctx)
		go limbo.Run(ctx)
		go e.Run(ctx)
	}
}

func (w *world) others(self *entry) func() []string {
	return func() []string {
		var out []string
		for _, e := range w.entries {
			if e != self && !e.dead.Load() && !e.hidden.Load() {
				out = append(out, e.name)
			}
		}
		return out
	}
}

// accept submits a job through the first entry.
func (w *world) accept(id, team string, idempotent bool, body string) {
	w.t.Helper()
	err := w.entries[0].Accept(context.Background(), &statemachine.JobAccept{
		ID: id, Team: team, Queue: "w.job", Pools: []string{"pool"}, Idempotent: idempotent, Body: []byte(body), BodyHash: body,
	})
	require.NoError(w.t, err)
}

// job reads a job through the last entry.
func (w *world) job(id string) *statemachine.Job {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	job, err := w.entries[len(w.entries)-1].Get(ctx, id)
	require.NoError(w.t, err)
	return job
}

// await waits until the job has ended and returns it.
func (w *world) await(id string) *statemachine.Job {
	w.t.Helper()
	for range 100_000 {
		if job := w.job(id); job.State.Finished() {
			return job
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatalf("job %s has not ended: %+v", id, w.job(id))
	return nil
}

// runningOn waits until the VM has started the job and returns its ID.
func (w *world) runningOn(id string) string {
	w.t.Helper()
	for range 10_000 {
		job := w.job(id)
		if job.State == statemachine.JobRunning && w.fleet.StartCounts()[id] == job.Attempt {
			return job.Slot.Target
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("job %s does not run", id)
	return ""
}
