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

// sharesModule keeps the teams near their shares when all slots are in use.
var sharesModule = fx.Module("shares",
	fx.Provide(
		newLocalLoads,
		fx.Annotate(newSharesTask, fx.ResultTags(`group:"tasks"`)),
	),
)

// loadExchanger passes the loads between the dispatcher and the heartbeats.
type loadExchanger struct {
	dispatcher *dispatch.Dispatcher
	membership *membership.Membership
	placer     *placement.Placer
	localLoads *localLoads
	clock      clockwork.Clock
}

func newSharesTask(d *dispatch.Dispatcher, m *membership.Membership, p *placement.Placer, b *localLoads, clock clockwork.Clock) backgroundTask {
	s := &loadExchanger{dispatcher: d, membership: m, placer: p, localLoads: b, clock: clock}
	return backgroundTask{name: "shares", run: s.run}
}

func (s *loadExchanger) run(ctx context.Context) {
	ticker := s.clock.NewTicker(sharesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			s.localLoads.set(s.dispatcher.ExchangeLoads(sharesInterval, s.others(), s.placer.Capacity))
		}
	}
}

// others returns the loads last reported by the reachable entries.
func (s *loadExchanger) others() [][]admission.Load {
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
