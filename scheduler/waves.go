package scheduler

import (
	"sort"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
)

// wave is a maintenance wave that is under way.
type wave struct {
	def   fleet.Wave
	began time.Time
	// done holds the VMs whose maintenance has begun.
	done map[string]bool
	// orderedAt is when each VM's maintenance was answered with success.
	orderedAt map[string]time.Time
	completed bool
}

const (
	// drainPatience is how long a VM waits for its short tasks before it is
	// maintained: longer ones are cut and start again.
	drainPatience = 4 * time.Second
	// pressedDrain is that time once the wave is late.
	pressedDrain = 300 * time.Millisecond
	// poolShareDown is the part of a pool that a wave takes at once while there
	// is time.
	poolShareDown = 0.25
	// waveReserve is the part of the wave's time kept for the unforeseen.
	waveReserve = 0.3
)

// SetWave takes in a wave that the operator published, and what the ledger
// holds of it.
func (s *Scheduler) SetWave(def fleet.Wave, began time.Time, done []string) {
	if w, known := s.waves[def.Number]; known {
		for _, name := range done {
			w.done[name] = true
		}
		return
	}
	w := &wave{def: def, began: began, done: map[string]bool{}, orderedAt: map[string]time.Time{}}
	for _, name := range done {
		w.done[name] = true
	}
	s.waves[def.Number] = w
}

// maintained notes that the VM's maintenance has begun, for good.
func (s *Scheduler) maintained(o VMOperation) {
	w, known := s.waves[o.Wave]
	if !known || w.done[o.VM] {
		return
	}
	w.done[o.VM] = true
	names := make([]string, 0, len(w.done))
	for name := range w.done {
		names = append(names, name)
	}
	sort.Strings(names)
	s.batch.Records = append(s.batch.Records, ledger.WaveRecord(o.Wave, ledger.Wave{FirstSeenAtMillis: w.began.UnixMilli(), StartedVMs: names}))
}

// TakeFinishedWaves returns the waves whose VMs have all been maintained, or have
// left, and that have not been returned before.
func (s *Scheduler) TakeFinishedWaves() []int64 {
	var out []int64
	for number, w := range s.waves {
		if w.completed || s.vmsAt.IsZero() || s.pendingVMs(w) > 0 {
			continue
		}
		w.completed = true
		out = append(out, number)
	}
	return out
}

// HandleWavePublication tells whether the operator could be told of a finished wave.
func (s *Scheduler) HandleWavePublication(number int64, err error) {
	if w, known := s.waves[number]; known && err != nil {
		w.completed = false
	}
}

// pendingVMs counts the wave's VMs that are still to be maintained.
func (s *Scheduler) pendingVMs(w *wave) int {
	n := 0
	for _, name := range w.def.VMs {
		if _, there := s.vms[name]; there && !w.done[name] {
			n++
		}
	}
	return n
}

// planWaves drains VMs and orders their maintenance, in time and within what
// may be down at once.
func (s *Scheduler) planWaves(now time.Time) {
	numbers := make([]int64, 0, len(s.waves))
	for number := range s.waves {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, k int) bool { return numbers[i] < numbers[k] })
	for _, w := range s.workers {
		w.dueMaintenance = false
	}
	for _, number := range numbers {
		if w := s.waves[number]; !w.completed {
			s.planWave(w, now)
		}
	}
}

func (s *Scheduler) planWave(w *wave, now time.Time) {
	busy := 0
	var waiting, draining []*vm
	for _, name := range w.def.VMs {
		v, there := s.vms[name]
		if !there {
			continue
		}
		if w.done[name] {
			if s.downForWave(v, now) {
				busy++
			}
			continue
		}
		if worker := s.workerOf(v); worker != nil {
			worker.dueMaintenance = true
		}
		switch {
		case v.ordered != nil, v.info.State == fleet.VMInMaintenance:
			// The last owner may have ordered it without being able to store that.
			busy++
		case v.draining == VMMaintain && v.wave == w.def.Number:
			draining = append(draining, v)
		case s.orderable(v, now) && v.draining == VMNoOperation:
			waiting = append(waiting, v)
		}
	}
	pressed := s.pressed(w, now)
	sort.Slice(draining, func(i, k int) bool { return s.runsOn(draining[i]) < s.runsOn(draining[k]) })
	for _, v := range draining {
		if busy < w.def.MaxUnavailable && s.settled(now) && s.orderable(v, now) && s.mayMaintain(v, pressed, now) {
			s.order(v, VMOperation{Kind: VMMaintain, VM: v.info.Name, Wave: w.def.Number}, now)
			busy++
		} else if worker := s.workerOf(v); worker != nil {
			s.evict(worker, now)
		}
	}
	room := w.def.MaxUnavailable - busy
	for _, v := range draining {
		if v.ordered == nil {
			room--
		}
	}
	s.startDrains(w, waiting, room, pressed, now)
}

// downForWave reports whether the VM may still be down for its maintenance.
func (s *Scheduler) downForWave(v *vm, now time.Time) bool {
	if v.info.State == fleet.VMInMaintenance {
		return true
	}
	return v.ordered != nil && v.ordered.Kind == VMMaintain
}

// pressed reports whether the wave must hurry to be done in time.
func (s *Scheduler) pressed(w *wave, now time.Time) bool {
	rounds := (s.pendingVMs(w) + w.def.MaxUnavailable - 1) / w.def.MaxUnavailable
	need := time.Duration(rounds) * (s.cfg.MaintenanceTime + drainPatience)
	left := w.def.MaxDuration - now.Sub(w.began)
	return need > left-time.Duration(float64(w.def.MaxDuration)*waveReserve)/2
}

func (s *Scheduler) runsOn(v *vm) int {
	if w := s.workerOf(v); w != nil {
		return len(w.tasks)
	}
	return 0
}

// startDrains picks the VMs that are drained next: spare ones first, then the
// ones with the least work, from pools that have not lost much.
func (s *Scheduler) startDrains(w *wave, waiting []*vm, room int, pressed bool, now time.Time) {
	sort.Slice(waiting, func(i, k int) bool {
		a, b := waiting[i], waiting[k]
		if spareA, spareB := s.isSpare(a.info.Pool), s.isSpare(b.info.Pool); spareA != spareB {
			return spareA
		}
		if na, nb := s.lastingOn(a), s.lastingOn(b); na != nb {
			return na < nb
		}
		if na, nb := s.runsOn(a), s.runsOn(b); na != nb {
			return na < nb
		}
		return a.info.Name < b.info.Name
	})
	size, away := map[string]int{}, map[string]int{}
	for _, v := range s.vms {
		size[v.info.Pool]++
		if v.draining != VMNoOperation || v.ordered != nil || v.info.State != fleet.VMUp {
			away[v.info.Pool]++
		}
	}
	for _, v := range waiting {
		if room <= 0 {
			return
		}
		pool := v.info.Pool
		most := max(1, int(float64(size[pool])*poolShareDown))
		if !pressed && !s.isSpare(pool) && (away[pool] >= most || s.hot(pool)) && s.runsOn(v) > 0 {
			continue
		}
		s.drain(v, VMMaintain, now)
		v.wave = w.def.Number
		away[pool]++
		room--
	}
}

func (s *Scheduler) isSpare(pool string) bool { return s.manifest.Pools[pool].Spare }

func (s *Scheduler) lastingOn(v *vm) int {
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

// mayMaintain reports whether the VM's maintenance may begin now: its short
// tasks are over or have had their time, and every step keeps its budget.
func (s *Scheduler) mayMaintain(v *vm, pressed bool, now time.Time) bool {
	w := s.workerOf(v)
	if w == nil || len(w.tasks) == 0 {
		return true
	}
	if !w.looked {
		return false
	}
	patience := drainPatience
	if pressed {
		patience = pressedDrain
	}
	short := false
	for _, t := range w.tasks {
		if !t.step.def.LongRunning {
			short = true
		}
	}
	if short && now.Sub(v.drainingAt) < patience {
		return false
	}
	return s.keepsBudgets(w, now)
}
