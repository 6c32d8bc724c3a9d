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
	// relayAfter is the age of the own proof from which peers are asked.
	relayAfter = 800 * time.Millisecond
)

// relay fetches what this entry cannot read of the control stream from the
// peer that knows most.
type relay struct {
	stream    *logstream.Stream
	caller    membership.PeerClient
	reachable func() []membership.Member
	clock     clockwork.Clock
	logger    hclog.Logger
}

func newRelay(stream *logstream.Stream, client *peer.Client, m *membership.Membership, clock clockwork.Clock, logger hclog.Logger) *relay {
	return &relay{stream: stream, caller: client, reachable: m.Reachable, clock: clock, logger: logger}
}

func (r *relay) run(ctx context.Context) {
	periodic.Run(ctx, r.clock, relayInterval, r.once)
}

// once asks one peer, if the own reads are late and a peer knows more.
func (r *relay) once(ctx context.Context) {
	age := r.stream.Staleness()
	if r.stream.FatalError() != nil || age <= relayAfter {
		return
	}
	best, ok := r.best(age)
	if !ok {
		return
	}
	if err := r.fetch(ctx, best.Address); err != nil {
		r.logger.Debug("no page relayed", "peer", best.Incarnation, "error", err.Error())
	}
}

// best returns the reachable member that has applied most and, among those,
// has the youngest proof. It must be ahead of this entry in one of the two.
func (r *relay) best(age time.Duration) (membership.Member, bool) {
	next := r.stream.State().NextOffset
	now := r.clock.Now()
	ahead := slices.DeleteFunc(r.reachable(), func(m membership.Member) bool {
		applied := m.LastHeartbeat.GetApplied()
		return applied < next || applied == next && !isYounger(m.ControlStaleness(now), age)
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

// isYounger reports whether a peer's age is below the own one by more than the
// time between two heartbeats.
func isYounger(peer, own time.Duration) bool {
	return peer < own-membership.HeartbeatInterval
}

func (r *relay) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sent := r.clock.Now()
	req := &peerpb.RelayRequest{Stream: controlStream, From: r.stream.State().NextOffset, Snapshot: true}
	resp, err := r.caller.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Relay{Relay: req}})
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

// newRelayHandler passes the control stream on to entries that ask for it.
func newRelayHandler(stream *logstream.Stream) peerRoute {
	return func(_ context.Context, req *peerpb.Request) *peerpb.Response {
		ask := req.GetRelay()
		if ask.GetStream() != controlStream {
			return nil
		}
		page, ok := stream.Relay(ask.GetFrom())
		if !ok || page.Snapshot != nil && !ask.GetSnapshot() {
			return nil
		}
		out := &peerpb.RelayPage{
			Identity: page.Identity, From: page.From, Payloads: page.Payloads, Next: page.NextOffset, AgeMs: ageMS(page.Staleness),
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
