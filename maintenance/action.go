package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// ActionKind names what an action does.
type ActionKind string

const (
	// ActionDrain takes a VM out of service.
	ActionDrain ActionKind = "drain"
	// ActionCheckpoint saves the progress of a long task and ends it.
	ActionCheckpoint ActionKind = "checkpoint"
	// ActionReboot restarts a VM that was seen empty.
	ActionReboot ActionKind = "reboot"
	// ActionMove puts a VM that was seen empty into another pool.
	ActionMove ActionKind = "move"
	// ActionLend puts an idle spare VM into service in another pool.
	ActionLend ActionKind = "lend"
	// ActionReturn puts a VM back into service that was confirmed healthy.
	ActionReturn ActionKind = "return"
	// ActionAbandonDrain puts a VM back into service that did not become empty.
	ActionAbandonDrain ActionKind = "give_up"
	// ActionPauseWave stops a wave whose VMs fail.
	ActionPauseWave ActionKind = "pause_wave"
	// ActionEndWave ends a wave that has nothing left to do.
	ActionEndWave ActionKind = "end_wave"
)

// Action is one step to take.
type Action struct {
	Kind ActionKind
	// Wave is the wave that the action belongs to, or empty.
	Wave string
	// VM is a VM as the decision saw it, or nil for a wave's action.
	VM *statemachine.VM
	// MoveTo is the pool to drain the VM for or to lend it to, or empty.
	MoveTo string
	// Task is the task to checkpoint.
	Task string
	// WaveVersion is the wave's version as the decision saw it.
	WaveVersion uint64
	// Cause tells why, for people.
	Cause string
}
