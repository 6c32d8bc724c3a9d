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

// describer tells what the own heartbeats say.
type describer struct {
	stream *logstream.Stream
	ledger *quota.Ledger
	board  *loadBoard
	zone   string
	// leaving is set before the entry leaves: from then on it counts in no
	// majority.
	leaving atomic.Bool
}

// describe sets what every heartbeat tells.
func (d *describer) describe(out *peerpb.Heartbeat) {
	// The age is taken before the offset, which may only be later.
	age := d.stream.Staleness()
	out.Applied = d.stream.State().NextOffset
	out.ControlAgeMs = ageMS(age)
	out.LogReadable = d.stream.Readable() && age <= readableFor
	out.Leaving = d.leaving.Load()
}

// view returns the own zone and the teams' load.
func (d *describer) view() membership.View {
	out := membership.View{AvailabilityZone: d.zone}
	waiting := d.board.waiting()
	for team, usage := range d.ledger.UsageByTeam() {
		out.Teams = append(out.Teams, &peerpb.TeamLoad{
			Team: team, Running: int64(usage.Running + usage.UnderLoans), Waiting: int64(math.Round(waiting[team])), Spare: int64(usage.Spare()),
		})
	}
	return out
}

// readableFor is the age of the latest proof up to which the log counts as
// readable. It is below currentFor, so that the others know of an outage before
// their own proofs run out.
const readableFor = time.Second

// ageMS converts an age to milliseconds, rounded up, or -1 if it is beyond a
// day.
func ageMS(age time.Duration) int64 {
	if age > 24*time.Hour {
		return -1
	}
	return (age + time.Millisecond - 1).Milliseconds()
}

// newHeartbeatHandler answers heartbeats with the own one.
func newHeartbeatHandler(m *membership.Membership) peerRoute {
	return func(_ context.Context, req *peerpb.Request) *peerpb.Response {
		question := req.GetHeartbeat()
		if question == nil {
			return nil
		}
		return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: m.HandleHeartbeat(question)}}
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
