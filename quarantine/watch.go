package quarantine

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// watchInterval is the time between two looks at the suspects.
	watchInterval = 500 * time.Millisecond
	// recordTimeout bounds the wait for one record.
	recordTimeout = 2 * time.Second
)

// Log is the control stream.
type Log interface {
	State() *statemachine.State
	Propose(ctx context.Context, c statemachine.Command) (statemachine.Result, error)
}

// Controller writes the records of quarantines and releases.
type Controller struct {
	Detector *Detector
	Log      Log
	Clock    clockwork.Clock
	Logger   hclog.Logger
	// Elected reports whether this entry writes now. Two at once do no harm.
	Elected func() bool
}

// Run writes until the context ends.
func (w *Controller) Run(ctx context.Context) {
	periodic.Run(ctx, w.Clock, watchInterval, w.once)
}

func (w *Controller) once(ctx context.Context) {
	state := w.Log.State()
	suspects := w.Detector.suspects(state)
	if !w.Elected() {
		return
	}
	for _, command := range PlanCommands(state, suspects, w.Clock.Now()) {
		w.propose(ctx, command)
	}
}

func (w *Controller) propose(ctx context.Context, command statemachine.Command) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	vm := statemachine.SubjectOf(command).VM
	result, err := w.Log.Propose(ctx, command)
	switch {
	case err != nil:
		w.Logger.Warn("quarantine record not written", "kind", command.Kind(), "vm", vm, "error", err.Error())
	case result.Rejection != nil:
		w.Logger.Info("quarantine record is void", "kind", command.Kind(), "vm", vm, "error", result.Rejection.Error())
	default:
		w.Logger.Info("quarantine changed", "kind", command.Kind(), "vm", vm)
	}
}
