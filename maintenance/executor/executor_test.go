package executor

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/maintenance"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	slotLeaseTTL = time.Second
	drainTimeout = 10 * time.Second
)

// fakeVM is the only VM of the fake platform.
type fakeVM struct {
	provider.Workers
	tasks            map[string]provider.TaskState
	draining         bool
	unhealthy        bool
	reboots          int
	interruptedTasks int
	// endedTasks counts the tasks that were removed from tasks.
	endedTasks uint64
	// delayNextReboot times out the next call, which delayedReboot executes.
	delayNextReboot bool
	delayedReboot   func() error
}

func (v *fakeVM) Drain(context.Context, string) error  { v.draining = true; return nil }
func (v *fakeVM) Resume(context.Context, string) error { v.draining = false; return nil }

func (v *fakeVM) Reboot(_ context.Context, _ string, at provider.TaskListPosition) error {
	if v.delayNextReboot {
		v.delayNextReboot = false
		v.delayedReboot = func() error { return v.reboot(at) }
		return &provider.Error{Op: "pool.reboot", Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	return v.reboot(at)
}

func (v *fakeVM) reboot(at provider.TaskListPosition) error {
	list, _ := v.ListTasks(context.Background(), "")
	if at != list.Position() {
		return &provider.Error{Op: "pool.reboot", Outcome: provider.Refused, Code: provider.CodeInvalid}
	}
	v.reboots++
	v.interruptedTasks += len(v.tasks)
	return nil
}

func (v *fakeVM) ListTasks(context.Context, string) (provider.TaskList, error) {
	list := provider.TaskList{RecordID: "record", PrunedCount: v.endedTasks}
	for id, state := range v.tasks {
		list.Tasks = append(list.Tasks, provider.TaskStatus{ID: id, State: state})
	}
	return list, nil
}

func (v *fakeVM) StopTask(_ context.Context, _, id string, checkpoint bool) error {
	if checkpoint {
		delete(v.tasks, id)
	}
	return nil
}

func (v *fakeVM) AcquireSlot(context.Context, string, provider.SlotRequest) (provider.SlotLease, error) {
	if v.unhealthy || v.draining {
		return provider.SlotLease{}, &provider.Error{Op: "worker.acquire", Outcome: provider.Refused, Code: provider.CodeDraining}
	}
	return provider.SlotLease{}, nil
}

func (v *fakeVM) ReleaseSlot(context.Context, string, string) error { return nil }

// fixture is an executor over a state with a running wave and one VM.
type fixture struct {
	*Executor
	*fakeVM
	t          *testing.T
	state      *statemachine.State
	seq        uint64
	clock      *clockwork.FakeClock
	holdsLease bool
	reported   []maintenance.ActionKind
}

func (f *fixture) Epoch() (uint64, bool)      { return 1, f.holdsLease }
func (f *fixture) State() *statemachine.State { return f.state }

func (f *fixture) Propose(_ context.Context, c statemachine.Command) (statemachine.Result, error) {
	f.seq++
	batch := statemachine.Batch{Writer: "e", AtMS: f.clock.Now().UnixMilli(), Records: []statemachine.Record{{Seq: f.seq, Command: c}}}
	next, results := f.state.Apply(f.state.NextOffset, batch)
	f.state = next
	return results[0], nil
}

func newFixture(t *testing.T, tasks ...string) *fixture {
	f := &fixture{t: t, state: statemachine.New(), clock: clockwork.NewFakeClock(), holdsLease: true, fakeVM: &fakeVM{tasks: make(map[string]provider.TaskState)}}
	for _, id := range tasks {
		f.tasks[id] = provider.TaskRunning
	}
	f.Executor = New(Config{
		Lease: f, Log: f, Workers: f.fakeVM, Pools: f.fakeVM, Clock: f.clock, Logger: hclog.NewNullLogger(),
		Params: maintenance.DefaultParams(slotLeaseTTL), Self: "e",
		ListedAt:       f.clock.Now,
		RequiredVMs:    func() map[string]int { return nil },
		Checkpointable: func(task provider.TaskStatus) bool { return task.ID == "long" },
		Report:         func(a maintenance.Action) { f.reported = append(f.reported, a.Kind) },
	})
	for _, c := range []statemachine.Command{
		&statemachine.PoolSet{Pool: statemachine.Pool{Name: "p", MaxUnavailable: 1}},
		&statemachine.VMAdd{VM: statemachine.VM{ID: "vm", Pool: "p"}},
		&statemachine.WaveStart{Wave: statemachine.Wave{ID: "w", Pools: []string{"p"}, DrainTimeoutMS: drainTimeout.Milliseconds(), MaxParallel: 1}},
		&statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease},
	} {
		result, _ := f.Propose(t.Context(), c)
		require.Nil(t, result.Rejection)
	}
	return f
}

// runRounds runs the rounds of the given duration.
func (f *fixture) runRounds(d time.Duration) {
	for range int(d / roundInterval) {
		f.clock.Advance(roundInterval)
		f.runRound(f.t.Context())
	}
}

func (f *fixture) vm() *statemachine.VM {
	vm, ok := f.state.VMs.Get("vm")
	require.True(f.t, ok)
	return vm
}

func TestExecutor_GracefulStop(t *testing.T) {
	f := newFixture(t, "short")
	f.runRounds(3 * time.Second)
	require.Equal(t, statemachine.StepDraining, f.vm().Maintenance.Step)
	require.True(t, f.draining)
	require.Zero(t, f.reboots)
	require.Equal(t, maintenance.ReasonNotEmpty, f.LatestPlan().Conditions[0].Reason)

	delete(f.tasks, "short")
	f.unhealthy = true
	f.runRounds(time.Second)
	require.Equal(t, 1, f.reboots)
	require.Equal(t, statemachine.StepRebooting, f.vm().Maintenance.Step, "not returned before it is healthy")

	f.unhealthy = false
	f.runRounds(time.Second)
	require.Equal(t, "w", f.vm().MaintainedBy)
	require.False(t, f.draining)
	require.Equal(t, 1, f.reboots)
	require.Equal(t, []maintenance.ActionKind{
		maintenance.ActionDrain, maintenance.ActionReboot, maintenance.ActionReturn, maintenance.ActionEndWave,
	}, f.reported)
}

// TestExecutor_StartUnderOldSlotLease guards against a restart that interrupts
// a task started late under a slot lease from before the drain.
func TestExecutor_StartUnderOldSlotLease(t *testing.T) {
	f := newFixture(t)
	f.runRounds(slotLeaseTTL)
	f.tasks["late"] = provider.TaskRunning
	f.runRounds(3 * time.Second)
	require.Zero(t, f.reboots)
	delete(f.tasks, "late")
	f.runRounds(time.Second)
	require.Equal(t, 1, f.reboots)
	require.Zero(t, f.interruptedTasks)
}

func TestExecutor_DrainTimeoutInterruptsNoTask(t *testing.T) {
	f := newFixture(t, "stuck")
	f.runRounds(drainTimeout + time.Second)
	require.Equal(t, "w", f.vm().SkippedBy)
	require.True(t, f.vm().Available())
	require.False(t, f.draining)
	require.Zero(t, f.reboots)
	require.Contains(t, f.tasks, "stuck")
	wave, _ := f.state.Waves.Get("w")
	require.Contains(t, wave.Cause, "1 given up")
}

func TestExecutor_CheckpointsLongTasksOnly(t *testing.T) {
	f := newFixture(t, "long", "order")
	f.runRounds(drainTimeout / 2)
	require.Len(t, f.tasks, 2)
	f.runRounds(time.Second)
	require.Equal(t, map[string]provider.TaskState{"order": provider.TaskRunning}, f.tasks)
	require.Zero(t, f.reboots)
}

// TestExecutor_Takeover covers an executor that loses the lease in the middle
// of a restart, and one that acquires it there and finds a running task.
func TestExecutor_Takeover(t *testing.T) {
	f := newFixture(t)
	for range int(drainTimeout / roundInterval) {
		if f.vm().Maintenance.Step == statemachine.StepRebooting {
			break
		}
		f.runRounds(roundInterval)
	}
	require.Equal(t, statemachine.StepRebooting, f.vm().Maintenance.Step)
	f.holdsLease = false
	f.runRounds(time.Second)
	require.Zero(t, f.reboots, "no restart without the lease")
	require.Nil(t, f.LatestPlan())

	f.holdsLease = true
	f.tasks["leftover"] = provider.TaskRunning
	f.runRounds(time.Second)
	require.Zero(t, f.reboots, "a VM that runs tasks is not restarted")
	delete(f.tasks, "leftover")
	f.runRounds(time.Second)
	require.Equal(t, 1, f.reboots)
	require.Equal(t, "w", f.vm().MaintainedBy)
	require.Zero(t, f.interruptedTasks)
}

// TestExecutor_DelayedReboot guards against a delayed restart call: it arrives
// after the next call has restarted the VM, which now drains with a new task.
func TestExecutor_DelayedReboot(t *testing.T) {
	f := newFixture(t)
	f.delayNextReboot = true
	for range int(drainTimeout / roundInterval) {
		if f.vm().MaintainedBy == "w" {
			break
		}
		f.runRounds(roundInterval)
	}
	require.Equal(t, "w", f.vm().MaintainedBy)
	require.Equal(t, 1, f.reboots)

	f.tasks["order"] = provider.TaskRunning
	f.draining = true
	require.Equal(t, provider.Refused, provider.OutcomeOf(f.delayedReboot()))
	require.Equal(t, 1, f.reboots)
	require.Zero(t, f.interruptedTasks)
}
