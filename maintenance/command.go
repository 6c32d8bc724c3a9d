package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// CommandOf returns the record that the action writes under the epoch of the
// maintenance lease, or nil if it writes none.
func CommandOf(a Action, epoch uint64) statemachine.Command {
	switch a.Kind {
	case ActionDrain:
		return drainCommand(a, epoch)
	case ActionReboot:
		return &statemachine.VMReboot{VM: a.VM.ID, Expected: a.VM.Version, Epoch: epoch}
	case ActionMove:
		return &statemachine.VMMove{VM: a.VM.ID, From: a.VM.Pool, To: a.MoveTo, Expected: a.VM.Version, Epoch: epoch}
	case ActionLend:
		return &statemachine.VMLend{VM: a.VM.ID, From: a.VM.Pool, To: a.MoveTo, Expected: a.VM.Version, Epoch: epoch}
	case ActionReturn, ActionAbandonDrain:
		return &statemachine.VMReturn{VM: a.VM.ID, Expected: a.VM.Version, Epoch: epoch}
	case ActionPauseWave:
		return &statemachine.WaveSet{Wave: a.Wave, Expected: a.WaveVersion, State: statemachine.WavePaused, Cause: a.Cause, Epoch: epoch}
	case ActionEndWave:
		return &statemachine.WaveSet{Wave: a.Wave, Expected: a.WaveVersion, State: statemachine.WaveDone, Cause: a.Cause, Epoch: epoch}
	default:
		return nil
	}
}

// drainCommand returns the drain of a wave, or of a VM on loan that returns to
// its home pool after its wave.
func drainCommand(a Action, epoch uint64) *statemachine.VMDrain {
	command := &statemachine.VMDrain{VM: a.VM.ID, Pool: a.VM.Pool, Expected: a.VM.Version, Wave: a.Wave, MoveTo: a.MoveTo}
	if a.Wave != "" {
		command.Epoch = epoch
	}
	return command
}
