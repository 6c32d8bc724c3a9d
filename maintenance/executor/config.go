package executor

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/maintenance"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Lease tells whether this process holds the maintenance lease.
type Lease interface {
	Epoch() (epoch uint64, ok bool)
}

// Log is the control stream.
type Log interface {
	State() *statemachine.State
	Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error)
}

// Config holds what an Executor works with. All members are required.
type Config struct {
	Lease   Lease
	Log     Log
	Workers provider.Workers
	Pools   provider.VMLifecycle
	Clock   clockwork.Clock
	Logger  hclog.Logger
	Params  maintenance.Params
	// Self names this process to the VMs.
	Self string
	// ListedAt returns when the VM list was last read.
	ListedAt func() time.Time
	// RequiredVMs returns the number of VMs that each pool needs for its load.
	RequiredVMs func() map[string]int
	// Checkpointable reports whether a task may be stopped and resumed
	// elsewhere without harm to its request.
	Checkpointable func(provider.TaskStatus) bool
	// Report is told of each action that took effect.
	Report func(maintenance.Action)
}
