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
	slotLease = time.Second
	deadline  = 10 * time.Second
)

// fakeVM is the only VM of the fake platform.
type fakeVM struct {
	provider.Workers
	tasks    map[string]provider.TaskState
	draining bool
	sick     bool
	reboots  int
	cut      int
	// ended counts the tasks that are no longer in tasks.
	ended uint64
	// holdReboot keeps the next call back, for late to carry it out.
	holdReboot bool
	late       func() error
}

func (v *fakeVM) Drain(context.Context, string) error  { v.draining = true; return nil }
func (v *fakeVM) Resume(context.Context, string) error { v.draining = false; return nil }

func (v *fakeVM) Reboot(_ context.Context, _ string, at provider.TaskListPosition) error {
	if v.holdReboot {
		v.holdReboot = false
		v.late = func() error { return v.reboot(at) }
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
	v.cut += len(v.tasks)
	return nil
}

func (v *fakeVM) ListTasks(context.Context, string) (provider.TaskList, error) {
	list := provider.TaskList{RecordID: "record", PrunedCount: v.ended}
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
	if v.sick || v.draining {
		return provider.SlotLease{}, &provider.Error{Op: "worker.acquire", Outcome: provider.Refused, Code: provider.CodeDraining}
	}
	return provider.SlotLease{}, nil
}

func (v *fakeVM) ReleaseSlot(context.Context, string, string) error { return nil }

// bench is an executor over a state with a running wave and one VM.
type bench struct {
	*Executor
	*fakeVM
	t      *testing.T
	state  *statemachine.State
	seq    uint64
	clock  *clockwork.FakeClock
	held   bool
	report []maintenance.ActionKind
}

func (b *bench) Epoch() (uint64, bool)      { return 1, b.held }
func (b *bench) State() *statemachine.State { return b.state }

func (b *bench) Propose(_ context.Context, c statemachine.Command) (statemachine.Result, error) {
	b.seq++
	batch := statemachine.Batch{Writer: "e", AtMS: b.clock.Now().UnixMilli(), Records: []statemachine.Record{{Seq: b.seq, Command: c}}}
	next, results := b.state.Apply(b.state.NextOffset, batch)
	b.state = next
	return results[0], nil
}

func newBench(t *testing.T, tasks ...string) *bench {
	b := &bench{t: t, state: statemachine.New(), clock: clockwork.NewFakeClock(), held: true, fakeVM: &fakeVM{tasks: make(map[string]provider.TaskState)}}
	for _, id := range tasks {
		b.tasks[id] = provider.TaskRunning
	}
	b.Executor = New(Config{
		Lease: b, Log: b, Workers: b.fakeVM, Pools: b.fakeVM, Clock: b.clock, Logger: hclog.NewNullLogger(),
		Params: maintenance.DefaultParams(slotLease), Self: "e",
		ListedAt:       b.clock.Now,
		RequiredVMs:    func() map[string]int { return nil },
		Checkpointable: func(task provider.TaskStatus) bool { return task.ID == "long" },
		Report:         func(a maintenance.Action) { b.report = append(b.report, a.Kind) },
	})
	for _, c := range []statemachine.Command{
		&statemachine.PoolSet{Pool: statemachine.Pool{Name: "p", MaxUnavailable: 1}},
		&statemachine.VMAdd{VM: statemachine.VM{ID: "vm", Pool: "p"}},
		&statemachine.WaveStart{Wave: statemachine.Wave{ID: "w", Pools: []string{"p"}, DrainTimeoutMS: deadline.Milliseconds(), MaxParallel: 1}},
		&statemachine.LeaseAcquire{Name: statemachine.MaintenanceLease},
	} {
		result, _ := b.Propose(t.Context(), c)
		require.Nil(t, result.Rejection)
	}
	return b
}

// rounds takes rounds for the time.
func (b *bench) rounds(d time.Duration) {
	for range int(d / interval) {
		b.clock.Advance(interval)
		b.round(b.t.Context())
	}
}

func (b *bench) vm() *statemachine.VM {
	vm, ok := b.state.VMs.Get("vm")
	require.True(b.t, ok)
	return vm
}

func TestExecutor_GracefulStop(t *testing.T) {
	b := newBench(t, "short")
	b.rounds(3 * time.Second)
	require.Equal(t, statemachine.StepDraining, b.vm().Maintenance.Step)
	require.True(t, b.draining)
	require.Zero(t, b.reboots)
	require.Equal(t, maintenance.ReasonNotEmpty, b.LatestPlan().Conditions[0].Reason)

	delete(b.tasks, "short")
	b.sick = true
	b.rounds(time.Second)
	require.Equal(t, 1, b.reboots)
	require.Equal(t, statemachine.StepRebooting, b.vm().Maintenance.Step, "not back before it is healthy")

	b.sick = false
	b.rounds(time.Second)
	require.Equal(t, "w", b.vm().MaintainedBy)
	require.False(t, b.draining)
	require.Equal(t, 1, b.reboots)
	require.Equal(t, []maintenance.ActionKind{
		maintenance.ActionDrain, maintenance.ActionReboot, maintenance.ActionReturn, maintenance.ActionEndWave,
	}, b.report)
}

// TestExecutor_LateStart covers a start under a slot lease from before the
// drain: the VM looks empty at first.
func TestExecutor_LateStart(t *testing.T) {
	b := newBench(t)
	b.rounds(slotLease)
	b.tasks["late"] = provider.TaskRunning
	b.rounds(3 * time.Second)
	require.Zero(t, b.reboots)
	delete(b.tasks, "late")
	b.rounds(time.Second)
	require.Equal(t, 1, b.reboots)
	require.Zero(t, b.cut)
}

func TestExecutor_DeadlineNeverCuts(t *testing.T) {
	b := newBench(t, "stuck")
	b.rounds(deadline + time.Second)
	require.Equal(t, "w", b.vm().SkippedBy)
	require.True(t, b.vm().Available())
	require.False(t, b.draining)
	require.Zero(t, b.reboots)
	require.Contains(t, b.tasks, "stuck")
	wave, _ := b.state.Waves.Get("w")
	require.Contains(t, wave.Cause, "1 given up")
}

func TestExecutor_CheckpointsLongTasksOnly(t *testing.T) {
	b := newBench(t, "long", "order")
	b.rounds(deadline / 2)
	require.Len(t, b.tasks, 2)
	b.rounds(time.Second)
	require.Equal(t, map[string]provider.TaskState{"order": provider.TaskRunning}, b.tasks)
	require.Zero(t, b.reboots)
}

// TestExecutor_Takeover covers an executor that begins in the middle of a
// restart, and one that has lost the lease.
func TestExecutor_Takeover(t *testing.T) {
	b := newBench(t)
	for range int(deadline / interval) {
		if b.vm().Maintenance.Step == statemachine.StepRebooting {
			break
		}
		b.rounds(interval)
	}
	require.Equal(t, statemachine.StepRebooting, b.vm().Maintenance.Step)
	b.held = false
	b.rounds(time.Second)
	require.Zero(t, b.reboots, "nothing without the lease")
	require.Nil(t, b.LatestPlan())

	b.held = true
	b.tasks["stray"] = provider.TaskRunning
	b.rounds(time.Second)
	require.Zero(t, b.reboots, "a VM that runs tasks is not restarted")
	delete(b.tasks, "stray")
	b.rounds(time.Second)
	require.Equal(t, 1, b.reboots)
	require.Equal(t, "w", b.vm().MaintainedBy)
	require.Zero(t, b.cut)
}

// TestExecutor_HeldUpReboot lets a restart call arrive only after the VM has
// been restarted by the next call, has served and drains again with a task.
func TestExecutor_HeldUpReboot(t *testing.T) {
	b := newBench(t)
	b.holdReboot = true
	for range int(deadline / interval) {
		if b.vm().MaintainedBy == "w" {
			break
		}
		b.rounds(interval)
	}
	require.Equal(t, "w", b.vm().MaintainedBy)
	require.Equal(t, 1, b.reboots)

	b.tasks["order"] = provider.TaskRunning
	b.draining = true
	require.Equal(t, provider.Refused, provider.OutcomeOf(b.late()))
	require.Equal(t, 1, b.reboots)
	require.Zero(t, b.cut)
}
