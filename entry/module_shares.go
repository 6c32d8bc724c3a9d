package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/admission"
	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/placement"
)

// sharesInterval is the time between two computations of the shares.
const sharesInterval = 100 * time.Millisecond

// sharesModule keeps the teams near their shares when everything is full.
var sharesModule = fx.Module("shares",
	fx.Provide(
		newLoadBoard,
		fx.Annotate(newSharesTask, fx.ResultTags(`group:"tasks"`)),
	),
)

// sharer exchanges the loads between the dispatcher and the heartbeats.
type sharer struct {
	dispatcher *dispatch.Dispatcher
	membership *membership.Membership
	placer     *placement.Placer
	board      *loadBoard
	clock      clockwork.Clock
}

func newSharesTask(d *dispatch.Dispatcher, m *membership.Membership, p *placement.Placer, b *loadBoard, clock clockwork.Clock) task {
	s := &sharer{dispatcher: d, membership: m, placer: p, board: b, clock: clock}
	return task{name: "shares", run: s.run}
}

func (s *sharer) run(ctx context.Context) {
	ticker := s.clock.NewTicker(sharesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			s.board.set(s.dispatcher.ExchangeLoads(sharesInterval, s.others(), s.placer.Capacity))
		}
	}
}

// others returns the loads that the reachable entries last told.
func (s *sharer) others() [][]admission.Load {
	var out [][]admission.Load
	for _, member := range s.membership.Reachable() {
		var loads []admission.Load
		for _, t := range member.LastHeartbeat.GetTeams() {
			loads = append(loads, admission.Load{Team: t.GetTeam(), Running: float64(t.GetRunning()), Waiting: float64(t.GetWaiting())})
		}
		out = append(out, loads)
	}
	return out
}
