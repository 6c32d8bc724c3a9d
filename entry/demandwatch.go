package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/sizing"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// demandInterval is the time between two samples of the pools' demand.
const demandInterval = time.Second

// moveTimeout bounds the write of the record that begins a move.
const moveTimeout = 2 * time.Second

// demandWatch follows the pools' demand by the loads that the entries exchange
// and begins the moves between pools that it calls for.
type demandWatch struct {
	id         identity
	stream     *logstream.Stream
	membership *membership.Membership
	describer  *describer
	clock      clockwork.Clock
	logger     hclog.Logger
	// tracker and mover belong to the goroutine of run.
	tracker *sizing.DemandTracker
	mover   *sizing.MovePlanner
	latest  atomic.Pointer[map[string]int]
}

func newDemandWatch(id identity, stream *logstream.Stream, m *membership.Membership, d *describer, clock clockwork.Clock, logger hclog.Logger) *demandWatch {
	return &demandWatch{
		id: id, stream: stream, membership: m, describer: d, clock: clock, logger: logger,
		tracker: sizing.NewDemandTracker(), mover: sizing.NewMovePlanner(),
	}
}

func (w *demandWatch) run(ctx context.Context) {
	periodic.Run(ctx, w.clock, demandInterval, w.once)
}

func (w *demandWatch) once(ctx context.Context) {
	now, state := w.clock.Now(), w.stream.State()
	sizes := sizing.PoolSizes(state)
	demand := sizing.PoolDemand(state, sizes, w.loads())
	w.tracker.Observe(now, demand)
	need := w.tracker.RequiredVMs(sizes)
	w.latest.Store(&need)
	costs := sizing.MoveCosts(state)
	w.mover.Observe(now, sizes, demand, costs, sizing.BusyPools(state))
	if !isFirst(state, w.id.incarnation) {
		return
	}
	if move, vm := sizing.ChooseMove(state, w.mover.DueMoves(sizes, costs), sizes, need); vm != nil {
		w.begin(ctx, move, vm)
	}
}

// begin drains the VM for the other pool. The holder of the maintenance lease
// finishes the move.
func (w *demandWatch) begin(ctx context.Context, move sizing.Move, vm *statemachine.VM) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	drain := &statemachine.VMDrain{VM: vm.ID, Pool: move.From, Expected: vm.Version, MoveTo: move.To}
	result, err := w.stream.Propose(ctx, drain)
	switch {
	case err != nil:
		w.logger.Debug("move not begun", "vm", vm.ID, "error", err.Error())
	case result.Rejection != nil:
		w.logger.Debug("move void", "vm", vm.ID, "reason", result.Rejection.Error())
	default:
		w.logger.Info("VM moves by demand", "vm", vm.ID, "from", move.From, "to", move.To)
	}
}

// need returns the number of VMs that each pool needs, or nil before the
// first sample. It must not be changed.
func (w *demandWatch) need() map[string]int {
	if need := w.latest.Load(); need != nil {
		return *need
	}
	return nil
}

// loads adds up the own loads and those that the reachable entries last told.
func (w *demandWatch) loads() map[string]sizing.Load {
	out := make(map[string]sizing.Load)
	addLoads(out, w.describer.view().Teams)
	for _, member := range w.membership.Reachable() {
		addLoads(out, member.LastHeartbeat.GetTeams())
	}
	return out
}

// addLoads adds what one entry tells.
func addLoads(to map[string]sizing.Load, told []*peerpb.TeamLoad) {
	for _, t := range told {
		load := sizing.Load{Running: float64(t.GetRunning()), Waiting: float64(t.GetWaiting())}
		to[t.GetTeam()] = to[t.GetTeam()].Plus(load)
	}
}
