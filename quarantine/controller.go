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
	// reconcileInterval is the time between two checks of the suspects.
	reconcileInterval = 500 * time.Millisecond
	// recordTimeout bounds the wait for one record to be appended.
	recordTimeout = 2 * time.Second
)

// Log is the control stream.
type Log interface {
	State() *statemachine.State
	Propose(ctx context.Context, c statemachine.Command) (statemachine.Result, error)
}

// Controller appends the records of quarantines and releases.
type Controller struct {
	Detector *Detector
	Log      Log
	Clock    clockwork.Clock
	Logger   hclog.Logger
	// Elected reports whether this entry appends records. Two at once are
	// harmless.
	Elected func() bool
}

// Run appends records until the context ends.
func (c *Controller) Run(ctx context.Context) {
	periodic.Run(ctx, c.Clock, reconcileInterval, c.reconcile)
}

func (c *Controller) reconcile(ctx context.Context) {
	state := c.Log.State()
	suspects := c.Detector.suspects(state)
	if !c.Elected() {
		return
	}
	for _, command := range PlanCommands(state, suspects, c.Clock.Now()) {
		c.propose(ctx, command)
	}
}

func (c *Controller) propose(ctx context.Context, command statemachine.Command) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	vm := statemachine.SubjectOf(command).VM
	result, err := c.Log.Propose(ctx, command)
	switch {
	case err != nil:
		c.Logger.Warn("failed to append quarantine record", "kind", command.Kind(), "vm", vm, "error", err.Error())
	case result.Rejection != nil:
		c.Logger.Info("quarantine record rejected", "kind", command.Kind(), "vm", vm, "error", result.Rejection.Error())
	default:
		c.Logger.Info("quarantine changed", "kind", command.Kind(), "vm", vm)
	}
}
