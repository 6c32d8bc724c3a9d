package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// newTurnChange returns a fleet without spare VMs whose desk pool has VMs full of tasks
// of several lengths, and a backlog that can only be late.
func newTurnChange(t *testing.T, deskVMs int) *testFleet {
	f := newTestFleet(t)
	for i := range deskVMs {
		f.addVM(fmt.Sprintf("d%02d", i), testPool, 8)
	}
	for i := range minPoolVMs {
		f.addVM(fmt.Sprintf("o%02d", i), otherPool, 8)
	}
	f.advance(500 * time.Millisecond)
	for i := range deskVMs * 8 * 4 {
		late := f.newJob(jobID(i), fleet.Step{EstimateMillis: int64(300 + 100*(i%9)), Need: fleet.Resources{MilliCPU: 1000}})
		late.ArrivedMillis -= secondsToMillis(3)
		f.s.Submit(late, f.now)
	}
	f.advanceAndPlan(time.Second)
	return f
}

// submitBooks submits jobs of the other queue that need the given number of VMs.
func (f *testFleet) submitBooks(vms int) {
	for i := range vms {
		job := f.newJob(fmt.Sprintf("b%015x", i), fleet.Step{Count: 8, EstimateMillis: 800, Need: fleet.Resources{MilliCPU: 1000}})
		job.Queue = "books"
		f.s.Submit(job, f.now)
	}
}

// TestVacate_NextTurnGetsVMs replays the change from one queue's turn to the next. The
// late work of the last turn must not hold all VMs while work that can be on time waits.
func TestVacate_NextTurnGetsVMs(t *testing.T) {
	const deskVMs = 20
	f := newTurnChange(t, deskVMs)
	f.submitBooks(2 * deskVMs)
	moved := map[string]bool{}
	for _, o := range f.advanceAndPlan(1500 * time.Millisecond) {
		if o.Pool == otherPool {
			moved[o.VM] = true
		}
	}
	require.GreaterOrEqual(t, len(moved), deskVMs/2, "late work holds the VMs that the next turn needs")
	require.LessOrEqual(t, len(moved), deskVMs-minPoolVMs)
}

// TestVacate_EndsWithTheShortage lets VMs take tasks again once nobody needs them.
func TestVacate_EndsWithTheShortage(t *testing.T) {
	const deskVMs = 6
	f := newTurnChange(t, deskVMs)
	f.submitBooks(2 * deskVMs)
	f.now = f.now.Add(50 * time.Millisecond)
	f.s.PlanVMs(f.now)
	vacating := 0
	for _, v := range f.s.vms {
		if v.vacateFor == otherPool && v.operation == nil {
			vacating++
		}
	}
	require.Positive(t, vacating)
	for i := range 2 * deskVMs {
		f.s.Cancel(fmt.Sprintf("b%015x", i), f.now)
	}
	f.advanceAndPlan(2 * arrivalRetention)
	for name, v := range f.s.vms {
		if v.operation == nil {
			require.Empty(t, v.vacateFor, name)
			require.Equal(t, VMNoOperation, v.drainFor, name)
		}
	}
}

// TestVacate_DuringAWave replays the change of turns while every VM of the last turn's
// pool is due for maintenance: the next turn gets VMs as long as the wave has time, and
// none once it ends soon.
func TestVacate_DuringAWave(t *testing.T) {
	const deskVMs = 20
	for _, c := range []struct {
		left  time.Duration
		moves bool
	}{{40 * time.Second, true}, {3 * time.Second, false}} {
		f := newTurnChange(t, deskVMs)
		var due []string
		for _, v := range f.s.vms {
			if v.info.Pool == testPool {
				due = append(due, v.info.Name)
			}
		}
		const length = time.Minute
		f.s.SetWave(fleet.Wave{Number: 1, VMs: due, MaxDuration: length, MaxUnavailable: 1}, f.now.Add(c.left-length), nil)
		f.submitBooks(2 * deskVMs)
		moved := 0
		for _, o := range f.advanceAndPlan(1500 * time.Millisecond) {
			if o.Kind == VMMove && o.Pool == otherPool {
				moved++
			}
		}
		if c.moves {
			require.GreaterOrEqual(t, moved, deskVMs/2, "a wave with much time left holds the VMs")
		} else {
			require.Zero(t, moved, "VMs of a wave that ends soon are moved")
		}
	}
}
