package entry

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/quota"
)

// describer makes the own heartbeat.
type describer struct {
	id     identity
	stream *logstream.Stream
	ledger *quota.Ledger
	board  *loadBoard
	zone   string
	// leaving is set before the entry leaves: from then on it counts in no
	// majority.
	leaving atomic.Bool
}

func (d *describer) describe() *peerpb.Heartbeat {
	out := &peerpb.Heartbeat{
		Incarnation:  d.id.incarnation,
		Applied:      d.stream.State().Next,
		ControlAgeMs: ageMS(d.stream.Age()),
		LogReadable:  d.stream.Age() <= currentFor,

		Leaving:          d.leaving.Load(),
		AvailabilityZone: d.zone,
	}
	waiting := d.board.waiting()
	for team, usage := range d.ledger.Teams() {
		out.Teams = append(out.Teams, &peerpb.TeamLoad{
			Team: team, Running: int64(usage.Running), Waiting: int64(math.Ceil(waiting[team])), Spare: int64(usage.Spare()),
		})
	}
	return out
}

// ageMS converts an age to milliseconds, or -1 if it is beyond a day.
func ageMS(age time.Duration) int64 {
	if age > 24*time.Hour {
		return -1
	}
	return age.Milliseconds()
}

// newHeartbeatHandler answers heartbeats with the own one.
func newHeartbeatHandler(m *membership.Membership) peerRoute {
	return func(_ context.Context, req *peerpb.Request) *peerpb.Response {
		if req.GetHeartbeat() == nil {
			return nil
		}
		return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: m.Heartbeat()}}
	}
}

// peerRoutes answers the calls of other entries by the first route that knows
// the call.
type peerRoutes []peerRoute

// HandlePeer implements peer.Handler.
func (routes peerRoutes) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	for _, route := range routes {
		if resp := route(ctx, req); resp != nil {
			return resp
		}
	}
	return nil
}
