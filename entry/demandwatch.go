package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/sizing"
)

// demandInterval is the time between two samples of the pools' demand.
const demandInterval = time.Second

// demandWatch follows the pools' demand by the loads that the entries
// exchange.
type demandWatch struct {
	stream     *logstream.Stream
	membership *membership.Membership
	describer  *describer
	clock      clockwork.Clock
	// tracker belongs to the goroutine of run.
	tracker *sizing.Tracker
	latest  atomic.Pointer[map[string]int]
}

func newDemandWatch(stream *logstream.Stream, m *membership.Membership, d *describer, clock clockwork.Clock) *demandWatch {
	return &demandWatch{stream: stream, membership: m, describer: d, clock: clock, tracker: sizing.NewTracker()}
}

func (w *demandWatch) run(ctx context.Context) {
	periodic.Run(ctx, w.clock, demandInterval, w.once)
}

func (w *demandWatch) once(context.Context) {
	state := w.stream.State()
	sizes := sizing.SizesOf(state)
	w.tracker.Observe(w.clock.Now(), sizing.DemandOf(state, sizes, w.loads()))
	need := w.tracker.Need(sizes)
	w.latest.Store(&need)
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
	addLoads(out, w.describer.describe())
	for _, member := range w.membership.Reachable() {
		addLoads(out, member.Last)
	}
	return out
}

// addLoads adds what one entry tells of its teams.
func addLoads(to map[string]sizing.Load, told *peerpb.Heartbeat) {
	for _, t := range told.GetTeams() {
		load := sizing.Load{Running: float64(t.GetRunning()), Waiting: float64(t.GetWaiting())}
		to[t.GetTeam()] = to[t.GetTeam()].Plus(load)
	}
}
