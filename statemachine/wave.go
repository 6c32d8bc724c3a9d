package statemachine

import "slices"

// WaveState is the state of a wave.
type WaveState string

const (
	// WaveRunning means that the wave may start drains.
	WaveRunning WaveState = "running"
	// WavePaused means that the wave starts no further drain. Steps in progress
	// are finished.
	WavePaused WaveState = "paused"
	// WaveAborted means that the wave never starts another drain.
	WaveAborted WaveState = "aborted"
	// WaveDone means that every VM was maintained or skipped.
	WaveDone WaveState = "done"
)

// Finished reports whether the wave never starts another drain.
func (s WaveState) Finished() bool {
	return s == WaveAborted || s == WaveDone
}

// Wave is a rolling maintenance of the VMs of some pools.
type Wave struct {
	ID    string   `json:"id" validate:"required,max=64,excludesall=./"`
	Pools []string `json:"pools" validate:"min=1,dive,required"`
	// DrainTimeoutMS is the time after which the drain of a VM is abandoned, in
	// milliseconds.
	DrainTimeoutMS int64 `json:"deadline_ms" validate:"min=1"`
	// MaxParallel bounds the VMs that the wave maintains concurrently.
	MaxParallel int `json:"max_parallel" validate:"min=1"`
	// MaxFailures is the number of maintained VMs that may fail before the wave is
	// paused automatically.
	MaxFailures int       `json:"max_failures" validate:"min=0"`
	State       WaveState `json:"state"`
	// Cause explains the state of the wave.
	Cause string `json:"cause,omitempty"`
	// StartedAt is the offset of the start. VMs registered later are excluded.
	StartedAt uint64 `json:"started_at"`
	// AcceptedFailures counts the failures that an operator has accepted with
	// the latest resume.
	AcceptedFailures int `json:"accepted_failures"`
	// Version counts the changes, from 1.
	Version uint64 `json:"version"`
}

// Covers reports whether the wave maintains the VM: its home pool is a pool of
// the wave and it was registered before the wave started.
func (w *Wave) Covers(vm *VM) bool {
	home := vm.Pool
	if vm.Home != "" {
		home = vm.Home
	}
	return vm.AddedAt < w.StartedAt && slices.Contains(w.Pools, home)
}

const (
	// KindWaveStart is the kind of WaveStart.
	KindWaveStart Kind = "wave_start"
	// KindWaveSet is the kind of WaveSet.
	KindWaveSet Kind = "wave_set"
	// maxFinishedWaves bounds the finished waves that the state retains.
	maxFinishedWaves = 32
)

// WaveStart starts a wave. It is rejected if another unfinished wave covers one
// of the pools.
type WaveStart struct {
	Wave Wave `json:"wave"`
}

// Kind implements Command.
func (*WaveStart) Kind() Kind { return KindWaveStart }

func (c *WaveStart) apply(next *State, ctx applyContext) *Rejection {
	wave := c.Wave
	if wave.ID == "" || len(wave.Pools) == 0 || wave.MaxParallel < 1 || wave.DrainTimeoutMS < 1 {
		return rejectf(ReasonInvalid, "a wave needs an ID, pools, deadline_ms and max_parallel of at least 1")
	}
	if _, ok := next.Waves.Get(wave.ID); ok {
		return rejectf(ReasonExists, "wave %s already exists", wave.ID)
	}
	for _, pool := range wave.Pools {
		if _, ok := next.Pools.Get(pool); !ok {
			return rejectf(ReasonNotFound, "pool %s does not exist", pool)
		}
	}
	for id, other := range next.Waves.All() {
		if !other.State.Finished() && overlap(other.Pools, wave.Pools) {
			return rejectf(ReasonExists, "wave %s already covers one of the pools", id)
		}
	}
	wave.State, wave.Cause = WaveRunning, ""
	wave.StartedAt, wave.AcceptedFailures, wave.Version = ctx.offset, 0, 1
	next.Waves = pruneFinishedWaves(next.Waves).Set(wave.ID, &wave)
	return nil
}

func overlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}

// pruneFinishedWaves deletes the oldest finished wave once there are too many.
func pruneFinishedWaves(waves Table[*Wave]) Table[*Wave] {
	finished := 0
	var oldest *Wave
	for _, wave := range waves.All() {
		if !wave.State.Finished() {
			continue
		}
		finished++
		if oldest == nil || wave.StartedAt < oldest.StartedAt {
			oldest = wave
		}
	}
	if finished < maxFinishedWaves {
		return waves
	}
	return waves.Delete(oldest.ID)
}

// WaveSet pauses, resumes, aborts or finishes a wave. It is rejected unless
// Expected is the wave's version, and for a finished wave.
type WaveSet struct {
	Wave     string    `json:"wave"`
	Expected uint64    `json:"expected"`
	State    WaveState `json:"state"`
	Cause    string    `json:"cause,omitempty"`
	// AcceptFailures is the number of failures that a resume accepts.
	AcceptFailures int `json:"accept_failures,omitempty"`
	// Epoch is the epoch of the maintenance lease, or 0 for an operator.
	Epoch uint64 `json:"epoch,omitempty"`
}

// Kind implements Command.
func (*WaveSet) Kind() Kind { return KindWaveSet }

func (c *WaveSet) apply(next *State, ctx applyContext) *Rejection {
	wave, ok := next.Waves.Get(c.Wave)
	if !ok {
		return rejectf(ReasonNotFound, "wave %s does not exist", c.Wave)
	}
	if wave.Version != c.Expected {
		return rejectf(ReasonVersion, "wave %s is at version %d, not %d", c.Wave, wave.Version, c.Expected)
	}
	if wave.State.Finished() {
		return rejectf(ReasonStep, "wave %s is %s", c.Wave, wave.State)
	}
	switch c.State {
	case WaveRunning, WavePaused, WaveAborted, WaveDone:
	default:
		return rejectf(ReasonInvalid, "%q is not the state of a wave", c.State)
	}
	if c.Epoch != 0 || c.State == WaveDone {
		if rejection := checkMaintenanceEpoch(next, ctx.writer, c.Epoch); rejection != nil {
			return rejection
		}
	}
	changed := *wave
	changed.State, changed.Cause = c.State, c.Cause
	changed.AcceptedFailures = max(wave.AcceptedFailures, c.AcceptFailures)
	changed.Version++
	next.Waves = next.Waves.Set(wave.ID, &changed)
	return nil
}

// checkWave rejects a drain step of a wave that is not running.
func checkWave(s *State, id string) *Rejection {
	wave, ok := s.Waves.Get(id)
	if !ok {
		return rejectf(ReasonNotFound, "wave %s does not exist", id)
	}
	if wave.State != WaveRunning {
		return rejectf(ReasonStep, "wave %s is %s", id, wave.State)
	}
	return nil
}

// waveCommands are the commands that start and change waves.
var waveCommands = map[Kind]newCommand{
	KindWaveStart: func() Command { return &WaveStart{} },
	KindWaveSet:   func() Command { return &WaveSet{} },
}
