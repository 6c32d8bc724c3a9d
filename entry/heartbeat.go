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

// heartbeatSource provides the contents of the own heartbeats.
type heartbeatSource struct {
	stream     *logstream.Stream
	ledger     *quota.Ledger
	localLoads *localLoads
	zone       string
	// leaving is set before the entry leaves the membership: from then on it
	// counts in no majority.
	leaving atomic.Bool
}

// fill sets the fields that every heartbeat carries.
func (h *heartbeatSource) fill(out *peerpb.Heartbeat) {
	// The staleness is read before the offset, which may only advance.
	staleness := h.stream.Staleness()
	out.Applied = h.stream.State().NextOffset
	out.ControlAgeMs = stalenessMS(staleness)
	out.LogReadable = h.stream.Readable() && staleness <= maxReadableStaleness
	out.Leaving = h.leaving.Load()
}

// view returns the own zone and the teams' load.
func (h *heartbeatSource) view() membership.View {
	out := membership.View{AvailabilityZone: h.zone}
	waiting := h.localLoads.waitingByTeam()
	for team, usage := range h.ledger.UsageByTeam() {
		out.Teams = append(out.Teams, &peerpb.TeamLoad{
			Team: team, Running: int64(usage.Running + usage.UnderLoans), Waiting: int64(math.Round(waiting[team])), Spare: int64(usage.Spare()),
		})
	}
	return out
}

// maxReadableStaleness is the staleness up to which the log counts as readable.
// It is below maxControlStaleness, so that the others learn of an outage before
// their own proofs expire.
const maxReadableStaleness = time.Second

// stalenessMS converts a staleness to milliseconds, rounded up, or -1 if it
// exceeds a day.
func stalenessMS(staleness time.Duration) int64 {
	if staleness > 24*time.Hour {
		return -1
	}
	return (staleness + time.Millisecond - 1).Milliseconds()
}

// newHeartbeatHandler responds to heartbeats with the own one.
func newHeartbeatHandler(m *membership.Membership) peerRoute {
	return func(_ context.Context, req *peerpb.Request) *peerpb.Response {
		query := req.GetHeartbeat()
		if query == nil {
			return nil
		}
		return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: m.HandleHeartbeat(query)}}
	}
}

// peerRoutes dispatches a request of another entry to the first route that handles
// it.
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
