package scheduler

import (
	"sort"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// wave is an unfinished maintenance wave.
type wave struct {
	def         fleet.Wave
	firstSeenAt time.Time
	// startedVMs holds the VMs whose maintenance has started.
	startedVMs map[string]bool
	// answeredAt is when each VM's maintenance request succeeded.
	answeredAt map[string]time.Time
	completed  bool
	// awaySince is since when VMs that are still to be maintained have been away;
	// wasAway holds those that are back.
	awaySince map[string]time.Time
	wasAway   map[string]bool
	// pressed reports that the log tells of the pace.
	pressed bool
}

const (
	// drainTimeout is how long a VM waits for its short tasks before it is maintained:
	// longer ones are interrupted and restarted.
	drainTimeout = 4 * time.Second
	// lateDrainTimeout applies while the wave is behind schedule.
	lateDrainTimeout = 300 * time.Millisecond
	// maxPoolShareDown is the fraction of a pool that a wave on schedule takes at once.
	maxPoolShareDown = 0.25
	// maxPoolSharePressed is the same for a wave that has to get ahead: half of each pool
	// goes on serving.
	maxPoolSharePressed = 0.5
)

// SetWave adds a wave that the operator published, with its state in the ledger.
func (s *Scheduler) SetWave(def fleet.Wave, firstSeen time.Time, startedVMs []string) {
	if w, known := s.waves[def.Number]; known {
		for _, name := range startedVMs {
			w.startedVMs[name] = true
		}
		return
	}
	w := &wave{def: def, firstSeenAt: firstSeen, startedVMs: map[string]bool{}, answeredAt: map[string]time.Time{}, awaySince: map[string]time.Time{}, wasAway: map[string]bool{}}
	for _, name := range startedVMs {
		w.startedVMs[name] = true
	}
	s.waves[def.Number] = w
}

// recordMaintenanceStart records, for good, that maintenance has started.
func (s *Scheduler) recordMaintenanceStart(op VMOperation) {
	w, known := s.waves[op.Wave]
	if !known || w.startedVMs[op.VM] {
		return
	}
	w.startedVMs[op.VM] = true
	names := make([]string, 0, len(w.startedVMs))
	for name := range w.startedVMs {
		names = append(names, name)
	}
	sort.Strings(names)
	s.batch.Records = append(s.batch.Records, ledger.WaveRecord(op.Wave, ledger.Wave{FirstSeenAtMillis: w.firstSeenAt.UnixMilli(), StartedVMs: names}))
}

// TakeFinishedWaves returns the waves whose VMs have all been maintained, or have left,
// and that have not been returned before.
func (s *Scheduler) TakeFinishedWaves() []int64 {
	var out []int64
	for number, w := range s.waves {
		if w.completed || s.vmsListedAt.IsZero() || s.pendingVMs(w) > 0 {
			continue
		}
		w.completed = true
		out = append(out, number)
	}
	return out
}

// HandleWavePublication applies the result of reporting a finished wave.
func (s *Scheduler) HandleWavePublication(number int64, err error) {
	if w, known := s.waves[number]; known && err != nil {
		w.completed = false
	}
}

// pendingVMs counts the wave's VMs that are still to be maintained.
func (s *Scheduler) pendingVMs(w *wave) int {
	n := 0
	for _, name := range w.def.VMs {
		if _, listed := s.vms[name]; listed && !w.startedVMs[name] {
			n++
		}
	}
	return n
}

// planWaves drains VMs and requests their maintenance, in time and within the limit of
// VMs down at once.
func (s *Scheduler) planWaves(now time.Time) {
	numbers := make([]int64, 0, len(s.waves))
	for number := range s.waves {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, k int) bool { return numbers[i] < numbers[k] })
	for _, w := range s.workers {
		w.maintenanceDue, w.maintenanceUrgent = false, false
	}
	for _, number := range numbers {
		if w := s.waves[number]; !w.completed {
			s.planWave(w, now)
		}
	}
}

func (s *Scheduler) planWave(w *wave, now time.Time) {
	down := 0
	urgent := s.endsSoon(w, now)
	var waiting, draining []*vm
	for _, name := range w.def.VMs {
		v, listed := s.vms[name]
		if !listed {
			continue
		}
		if w.startedVMs[name] {
			if s.underMaintenance(v, now) {
				down++
			}
			continue
		}
		if worker := s.workerOf(v); worker != nil {
			worker.maintenanceDue, worker.maintenanceUrgent = true, urgent
		}
		switch {
		case v.operation != nil, v.info.State == fleet.VMInMaintenance:
			// The previous leader may have requested it without being able to store
			// that.
			down++
		case v.drainFor == VMMaintain && v.wave == w.def.Number:
			draining = append(draining, v)
		case s.acceptsOperation(v, now) && v.drainFor == VMNoOperation:
			waiting = append(waiting, v)
		}
	}
	pace := s.paceOf(w, now)
	sort.Slice(draining, func(i, k int) bool { return s.runCount(draining[i]) < s.runCount(draining[k]) })
	for _, v := range draining {
		if down < w.def.MaxUnavailable && s.stabilized(now) && s.acceptsOperation(v, now) && s.mayMaintain(v, pace == paceLate, now) {
			s.startOperation(v, VMOperation{Kind: VMMaintain, VM: v.info.Name, Wave: w.def.Number}, now)
			down++
		} else if worker := s.workerOf(v); worker != nil {
			s.evictLongRunning(worker, now, "its VM is due for maintenance", nil)
		}
	}
	budget := w.def.MaxUnavailable - down
	for _, v := range draining {
		if v.operation == nil {
			budget--
		}
	}
	s.startDrains(w, waiting, budget, pace, now)
}

// underMaintenance reports whether the VM may still be down for its maintenance.
func (s *Scheduler) underMaintenance(v *vm, now time.Time) bool {
	if v.info.State == fleet.VMInMaintenance {
		return true
	}
	return v.operation != nil && v.operation.Kind == VMMaintain
}

func (s *Scheduler) runCount(v *vm) int {
	if w := s.workerOf(v); w != nil {
		return len(w.tasks)
	}
	return 0
}

// startDrains picks the VMs that are drained next: spare ones first, then those with
// the fewest tasks, from pools that have few VMs down. A wave that has to get ahead takes
// those first that have been away: they may leave again.
func (s *Scheduler) startDrains(w *wave, waiting []*vm, budget int, pace wavePace, now time.Time) {
	sort.Slice(waiting, func(i, k int) bool {
		a, b := waiting[i], waiting[k]
		if spareA, spareB := s.isSpare(a.info.Pool), s.isSpare(b.info.Pool); spareA != spareB {
			return spareA
		}
		if pace != paceRelaxed && w.wasAway[a.info.Name] != w.wasAway[b.info.Name] {
			return w.wasAway[a.info.Name]
		}
		if na, nb := s.longRunningCount(a), s.longRunningCount(b); na != nb {
			return na < nb
		}
		if na, nb := s.runCount(a), s.runCount(b); na != nb {
			return na < nb
		}
		return a.info.Name < b.info.Name
	})
	size, down := map[string]int{}, map[string]int{}
	for _, v := range s.vms {
		size[v.info.Pool]++
		if v.drainFor == VMMaintain || v.operation != nil || v.info.State != fleet.VMUp {
			down[v.info.Pool]++
		}
	}
	for _, v := range waiting {
		if budget <= 0 {
			return
		}
		pool := v.info.Pool
		if s.runCount(v) > 0 && !s.isSpare(pool) && !s.mayDrain(pool, down[pool], size[pool], pace) {
			continue
		}
		s.drain(v, VMMaintain, now)
		v.wave = w.def.Number
		down[pool]++
		budget--
	}
}

func (s *Scheduler) isSpare(pool string) bool { return s.manifest.Pools[pool].Spare }

func (s *Scheduler) longRunningCount(v *vm) int {
	n := 0
	if w := s.workerOf(v); w != nil {
		for _, t := range w.tasks {
			if t.step.def.LongRunning {
				n++
			}
		}
	}
	return n
}

// mayMaintain reports whether the VM's maintenance may start now: its short tasks have
// ended or the drain timeout has passed, and all disruption budgets hold.
func (s *Scheduler) mayMaintain(v *vm, late bool, now time.Time) bool {
	w := s.workerOf(v)
	if w == nil || len(w.tasks) == 0 {
		return true
	}
	if !w.polled {
		return false
	}
	timeout := drainTimeout
	if late {
		timeout = lateDrainTimeout
	}
	short := false
	for _, t := range w.tasks {
		if !t.step.def.LongRunning {
			short = true
		}
	}
	if short && now.Sub(v.drainStartedAt) < timeout {
		return false
	}
	return s.withinDisruptionBudgets(w, now)
}
