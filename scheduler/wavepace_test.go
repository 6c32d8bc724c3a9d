package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// setSilent makes a VM's worker crash and answer nothing, or start again.
func (f *testFleet) setSilent(id string, silent bool) {
	f.silent[id] = silent
	clear(f.runs[id])
	if w := f.workers[id]; !silent {
		w.StartedAtMillis++
		f.workers[id] = w
		f.s.SetWorkers(f.workers, f.now)
	}
}

// TestWave_RackDarkInTheMiddle replays a wave in a full pool of which a rack is silent for a
// part of its time (seen on benchmark day trouble-3 of a further deployment). The VMs within
// reach must be maintained before the rack is back, which then has the whole limit; the
// limit holds all the while.
func TestWave_RackDarkInTheMiddle(t *testing.T) {
	const limit, duration = 6, 25 * time.Second
	f := newTestFleet(t)
	f.removeSparePool()
	var vms []string
	for i := range 12 {
		vms = append(vms, fmt.Sprintf("a%02d", i))
		f.addVM(vms[i], testPool, 4)
	}
	rack := []string{"w-a00", "w-a01", "w-a02"}
	f.advance(3 * time.Second)
	jobs := 0
	load := func() {
		f.s.Submit(f.newJob(jobID(jobs), fleet.Step{Count: 9, EstimateMillis: 500}), f.now)
		jobs++
	}
	for range 10 {
		load()
		f.advanceAndPlan(100 * time.Millisecond)
	}
	began := f.now
	f.s.SetWave(fleet.Wave{Number: 1, VMs: vms, MaxDuration: duration, MaxUnavailable: limit}, f.now, nil)
	maintained := map[string]time.Time{}
	for f.now.Sub(began) < duration {
		elapsed := f.now.Sub(began)
		switch elapsed {
		case 5 * time.Second, 14500 * time.Millisecond:
			for _, id := range rack {
				f.setSilent(id, elapsed == 5*time.Second)
			}
		}
		if elapsed == 14500*time.Millisecond {
			require.Len(t, maintained, len(vms)-len(rack), "VMs within reach were left for the time when the rack is back")
		}
		load()
		for _, o := range f.advanceAndPlan(100 * time.Millisecond) {
			require.Equal(t, VMMaintain, o.Kind)
			maintained[o.VM] = f.now
			f.maintainedUntil[o.VM] = f.now.Add(f.s.cfg.MaintenanceTime)
			f.maintain(o)
		}
		down := 0
		for _, at := range maintained {
			if f.now.Sub(at) < f.s.cfg.MaintenanceTime {
				down++
			}
		}
		require.LessOrEqual(t, down, limit)
	}
	require.Len(t, maintained, len(vms), "the wave is not over in time")
}
