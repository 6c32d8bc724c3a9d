package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/peer"
	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	relayInterval = 100 * time.Millisecond
	relayTimeout  = time.Second
	// relayMinStaleness is the own staleness above which peers are queried.
	relayMinStaleness = 800 * time.Millisecond
)

// relay fetches the records of the control stream that this entry cannot read
// from the most advanced peer.
type relay struct {
	stream    *logstream.Stream
	client    membership.PeerClient
	reachable func() []membership.Member
	clock     clockwork.Clock
	logger    hclog.Logger
}

func newRelay(stream *logstream.Stream, client *peer.Client, m *membership.Membership, clock clockwork.Clock, logger hclog.Logger) *relay {
	return &relay{stream: stream, client: client, reachable: m.Reachable, clock: clock, logger: logger}
}

func (r *relay) run(ctx context.Context) {
	periodic.Run(ctx, r.clock, relayInterval, r.fetchIfStale)
}

// fetchIfStale queries one peer, if the own state is stale and a peer is ahead.
func (r *relay) fetchIfStale(ctx context.Context) {
	staleness := r.stream.Staleness()
	if r.stream.FatalError() != nil || staleness <= relayMinStaleness {
		return
	}
	best, ok := r.bestPeer(staleness)
	if !ok {
		return
	}
	if err := r.fetch(ctx, best.Address); err != nil {
		r.logger.Debug("failed to fetch a relayed page", "peer", best.Incarnation, "error", err.Error())
	}
}

// bestPeer returns the reachable member with the highest offset and, among
// those, the lowest staleness. It must be ahead of this entry in one of the two.
func (r *relay) bestPeer(staleness time.Duration) (membership.Member, bool) {
	next := r.stream.State().NextOffset
	now := r.clock.Now()
	ahead := slices.DeleteFunc(r.reachable(), func(m membership.Member) bool {
		applied := m.LastHeartbeat.GetApplied()
		return applied < next || applied == next && !isFresher(m.ControlStaleness(now), staleness)
	})
	if len(ahead) == 0 {
		return membership.Member{}, false
	}
	return slices.MinFunc(ahead, func(a, b membership.Member) int {
		return cmp.Or(
			-cmp.Compare(a.LastHeartbeat.GetApplied(), b.LastHeartbeat.GetApplied()),
			cmp.Compare(a.ControlStaleness(now), b.ControlStaleness(now)),
		)
	}), true
}

// isFresher reports whether a peer's staleness is below the own one by more than
// the heartbeat interval.
func isFresher(peer, heartbeats time.Duration) bool {
	return peer < heartbeats-membership.HeartbeatInterval
}

func (r *relay) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sent := r.clock.Now()
	req := &peerpb.RelayRequest{Stream: controlStream, From: r.stream.State().NextOffset, Snapshot: true}
	resp, err := r.client.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Relay{Relay: req}})
	if err != nil {
		return err
	}
	page, err := decodeRelayed(resp.GetRelay())
	if err != nil {
		return err
	}
	return r.stream.ApplyRelayed(page, sent)
}

func decodeRelayed(in *peerpb.RelayPage) (logstream.RelayedPage, error) {
	out := logstream.RelayedPage{
		Identity: in.GetIdentity(), From: in.GetFrom(), Payloads: in.GetPayloads(), NextOffset: in.GetNext(),
		Staleness: time.Duration(in.GetAgeMs()) * time.Millisecond,
	}
	if len(in.GetSnapshot()) == 0 {
		return out, nil
	}
	state, err := statemachine.DecodeSnapshot(in.GetSnapshot())
	out.Snapshot = state
	return out, err
}

// newRelayHandler relays pages of the control stream to other entries.
func newRelayHandler(stream *logstream.Stream) peerRoute {
	return func(_ context.Context, req *peerpb.Request) *peerpb.Response {
		query := req.GetRelay()
		if query.GetStream() != controlStream {
			return nil
		}
		page, ok := stream.Relay(query.GetFrom())
		if !ok || page.Snapshot != nil && !query.GetSnapshot() {
			return nil
		}
		out := &peerpb.RelayPage{
			Identity: page.Identity, From: page.From, Payloads: page.Payloads, Next: page.NextOffset, AgeMs: stalenessMS(page.Staleness),
		}
		if page.Snapshot != nil {
			raw, err := statemachine.EncodeSnapshot(page.Snapshot)
			if err != nil {
				return nil
			}
			out.Snapshot = raw
		}
		return &peerpb.Response{Body: &peerpb.Response_Relay{Relay: out}}
	}
}
