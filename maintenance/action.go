package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// ActionKind is the type of an action.
type ActionKind string

const (
	// ActionDrain starts to drain a VM.
	ActionDrain ActionKind = "drain"
	// ActionCheckpoint saves the progress of a long task and stops it.
	ActionCheckpoint ActionKind = "checkpoint"
	// ActionReboot restarts a VM that is confirmed empty.
	ActionReboot ActionKind = "reboot"
	// ActionMove moves a VM that is confirmed empty to another pool.
	ActionMove ActionKind = "move"
	// ActionLend puts an idle spare VM into service in another pool.
	ActionLend ActionKind = "lend"
	// ActionReturn returns a VM that is confirmed healthy to service.
	ActionReturn ActionKind = "return"
	// ActionAbandonDrain returns a VM that did not become empty to service.
	ActionAbandonDrain ActionKind = "give_up"
	// ActionPauseWave pauses a wave whose VMs fail.
	ActionPauseWave ActionKind = "pause_wave"
	// ActionEndWave ends a wave that has no VM left to maintain or return.
	ActionEndWave ActionKind = "end_wave"
)

// Action is one planned step.
type Action struct {
	Kind ActionKind
	// Wave is the wave that the action belongs to, or empty.
	Wave string
	// VM is the VM as of the decision, or nil for an action on a wave.
	VM *statemachine.VM
	// MoveTo is the pool to drain the VM for or to lend it to, or empty.
	MoveTo string
	// Task is the task to checkpoint.
	Task string
	// WaveVersion is the wave's version as of the decision.
	WaveVersion uint64
	// Cause is a human-readable explanation.
	Cause string
}
