package entry

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// fakeRelayPeer responds to calls with pages of its stream, and counts them.
type fakeRelayPeer struct {
	stream       *logstream.Stream
	disconnected bool
	calls        int
}

// Call implements membership.Caller.
func (p *fakeRelayPeer) Call(ctx context.Context, _ string, req *peerpb.Request) (*peerpb.Response, error) {
	p.calls++
	if p.disconnected {
		return nil, errors.New("cut")
	}
	return newRelayHandler(p.stream)(ctx, req), nil
}

// relayFixture is an entry that cannot read the log, and its peer.
type relayFixture struct {
	clock  *clockwork.FakeClock
	peer   *fakeRelayPeer
	relay  *relay
	member membership.Member
}

func relayStream(clock clockwork.Clock) *logstream.Stream {
	return logstream.New(logstream.Config{
		Name: controlStream, Clock: clock, Logger: hclog.NewNullLogger(), Limits: logstream.DefaultLimits(),
	}, statemachine.New())
}

func newRelayFixture() *relayFixture {
	clock := clockwork.NewFakeClock()
	b := &relayFixture{clock: clock, peer: &fakeRelayPeer{stream: relayStream(clock)}}
	b.relay = &relay{
		stream: relayStream(clock), client: b.peer, clock: clock, logger: hclog.NewNullLogger(),
		reachable: func() []membership.Member { return []membership.Member{b.member} },
	}
	return b
}

// applyPage applies the payloads to the stream as the log's present contents.
func (b *relayFixture) applyPage(t *testing.T, stream *logstream.Stream, payloads ...[]byte) {
	t.Helper()
	page := logstream.RelayedPage{Identity: "log", Payloads: payloads, NextOffset: uint64(len(payloads))}
	require.NoError(t, stream.ApplyRelayed(page, b.clock.Now()))
}

// receiveHeartbeat stores a heartbeat of the peer.
func (b *relayFixture) receiveHeartbeat() {
	b.member = membership.Member{Incarnation: "p", SentAt: b.clock.Now(), LastHeartbeat: &peerpb.Heartbeat{
		Applied: b.peer.stream.State().NextOffset, ControlAgeMs: stalenessMS(b.peer.stream.Staleness()),
	}}
}

func relayPayload(t *testing.T) []byte {
	t.Helper()
	payload, err := statemachine.EncodeBatch(statemachine.Batch{Writer: "w", Records: []statemachine.Record{
		{Seq: 1, Command: &statemachine.PoolSet{Pool: statemachine.Pool{Name: "p"}}},
	}})
	require.NoError(t, err)
	return payload
}

// TestRelay_FollowsPeer checks that an entry without the log keeps its state
// as current as its peer's, by relayed records or, when these are no longer
// retained, by a snapshot.
func TestRelay_FollowsPeer(t *testing.T) {
	b := newRelayFixture()
	b.applyPage(t, b.relay.stream)
	b.applyPage(t, b.peer.stream)
	for range 50 {
		b.clock.Advance(relayInterval)
		b.applyPage(t, b.peer.stream)
		b.receiveHeartbeat()
		b.relay.fetchIfStale(t.Context())
		require.LessOrEqual(t, b.relay.stream.Staleness(), relayMinStaleness)
	}
	require.NoError(t, b.peer.stream.ApplyRelayed(
		logstream.RelayedPage{Identity: "log", Payloads: [][]byte{relayPayload(t)}, NextOffset: 1}, b.clock.Now()))
	b.clock.Advance(relayMinStaleness + 1)
	b.receiveHeartbeat()
	b.relay.fetchIfStale(t.Context())
	require.Equal(t, uint64(1), b.relay.stream.State().NextOffset)
	require.NotNil(t, b.relay.stream.State())

	later := statemachine.New()
	later.NextOffset = 5000
	require.NoError(t, b.peer.stream.Install(logstream.Snapshot{Identity: "log", State: later}))
	b.receiveHeartbeat()
	b.clock.Advance(relayMinStaleness + 1)
	b.relay.fetchIfStale(t.Context())
	require.Equal(t, uint64(5000), b.relay.stream.State().NextOffset)
}

// TestRelay_SkipsUselessRequests covers when no peer is queried.
func TestRelay_SkipsUselessRequests(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*relayFixture)
		calls   int
	}{
		{"the own state is fresh", func(b *relayFixture) { b.clock.Advance(relayMinStaleness) }, 0},
		{"the peer is not ahead", func(b *relayFixture) { b.clock.Advance(maxControlStaleness); b.receiveHeartbeat() }, 0},
		{"the peer has a fresher proof", func(b *relayFixture) {
			b.clock.Advance(maxControlStaleness)
			b.applyPage(t, b.peer.stream)
			b.receiveHeartbeat()
		}, 1},
		// The peer's report has aged since: after a pause of all processes it
		// is no fresher than the own proof, and would be current only briefly.
		{"the peer's proof was fresher when reported", func(b *relayFixture) {
			b.receiveHeartbeat()
			b.clock.Advance(maxControlStaleness)
		}, 0},
		{"the peer is unreachable", func(b *relayFixture) {
			b.clock.Advance(maxControlStaleness)
			b.applyPage(t, b.peer.stream)
			b.receiveHeartbeat()
			b.peer.disconnected = true
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newRelayFixture()
			b.applyPage(t, b.relay.stream)
			b.applyPage(t, b.peer.stream)
			b.receiveHeartbeat()
			c.prepare(b)
			before := b.relay.stream.Staleness()
			b.relay.fetchIfStale(t.Context())
			require.Equal(t, c.calls, b.peer.calls)
			require.LessOrEqual(t, b.relay.stream.Staleness(), before)
		})
	}
}
