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

// moveTimeout bounds the write of the record that starts a move.
const moveTimeout = 2 * time.Second

// demandMonitor tracks the pools' demand from the loads that the entries exchange
// and starts the moves of VMs between pools that it requires.
type demandMonitor struct {
	id         identity
	stream     *logstream.Stream
	membership *membership.Membership
	heartbeats *heartbeatSource
	clock      clockwork.Clock
	logger     hclog.Logger
	// tracker and movePlanner are used by the goroutine of run only.
	tracker      *sizing.DemandTracker
	movePlanner  *sizing.MovePlanner
	lastRequired atomic.Pointer[map[string]int]
}

func newDemandMonitor(id identity, stream *logstream.Stream, m *membership.Membership, d *heartbeatSource, clock clockwork.Clock, logger hclog.Logger) *demandMonitor {
	return &demandMonitor{
		id: id, stream: stream, membership: m, heartbeats: d, clock: clock, logger: logger,
		tracker: sizing.NewDemandTracker(), movePlanner: sizing.NewMovePlanner(),
	}
}

func (d *demandMonitor) run(ctx context.Context) {
	periodic.Run(ctx, d.clock, demandInterval, d.sample)
}

func (d *demandMonitor) sample(ctx context.Context) {
	now, state := d.clock.Now(), d.stream.State()
	sizes := sizing.PoolSizes(state)
	demand := sizing.PoolDemand(state, sizes, d.loads())
	d.tracker.Observe(now, demand)
	required := d.tracker.RequiredVMs(sizes)
	d.lastRequired.Store(&required)
	costs := sizing.MoveCosts(state)
	d.movePlanner.Observe(now, sizes, demand, costs, sizing.BusyPools(state))
	if !isFirstMember(state, d.id.incarnation) {
		return
	}
	if move, vm := sizing.ChooseMove(state, d.movePlanner.DueMoves(sizes, costs), sizes, required); vm != nil {
		d.startMove(ctx, move, vm)
	}
}

// startMove drains the VM for the other pool. The holder of the maintenance
// lease finishes the move.
func (d *demandMonitor) startMove(ctx context.Context, move sizing.Move, vm *statemachine.VM) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	drain := &statemachine.VMDrain{VM: vm.ID, Pool: move.From, Expected: vm.Version, MoveTo: move.To}
	result, err := d.stream.Propose(ctx, drain)
	switch {
	case err != nil:
		d.logger.Debug("failed to propose the VM move", "vm", vm.ID, "error", err.Error())
	case result.Rejection != nil:
		d.logger.Debug("VM move rejected", "vm", vm.ID, "reason", result.Rejection.Error())
	default:
		d.logger.Info("moving VM to follow demand", "vm", vm.ID, "from", move.From, "to", move.To)
	}
}

// requiredVMs returns the number of VMs that each pool needs, or nil before the
// first sample. It must not be changed.
func (d *demandMonitor) requiredVMs() map[string]int {
	if required := d.lastRequired.Load(); required != nil {
		return *required
	}
	return nil
}

// loads sums the own loads and those last reported by the reachable entries.
func (d *demandMonitor) loads() map[string]sizing.Load {
	out := make(map[string]sizing.Load)
	addLoads(out, d.heartbeats.view().Teams)
	for _, member := range d.membership.Reachable() {
		addLoads(out, member.LastHeartbeat.GetTeams())
	}
	return out
}

// addLoads adds the loads reported by one entry.
func addLoads(to map[string]sizing.Load, reported []*peerpb.TeamLoad) {
	for _, t := range reported {
		load := sizing.Load{Running: float64(t.GetRunning()), Waiting: float64(t.GetWaiting())}
		to[t.GetTeam()] = to[t.GetTeam()].Plus(load)
	}
}
