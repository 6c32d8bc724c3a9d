package logstream

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestApplyRelayed_Freshness checks that a relayed state is never considered
// fresher than the sender's, counted from before the request.
func TestApplyRelayed_Freshness(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := testConfig(fakelog.New(clock), "w")
	cfg.Clock = clock
	payloads := testPayloads(t, 3)
	cases := []struct {
		name string
		page RelayedPage
		next uint64
		age  time.Duration
	}{
		{"payloads", RelayedPage{Identity: "i", Payloads: payloads, NextOffset: 3, Staleness: time.Second}, 3, 3 * time.Second},
		{"no age", RelayedPage{Identity: "i", Payloads: payloads, NextOffset: 3, Staleness: -1}, 3, unknownStaleness},
		{"not to the end", RelayedPage{Identity: "i", Payloads: payloads[:2], NextOffset: 3}, 2, unknownStaleness},
		{"a gap", RelayedPage{Identity: "i", From: 1, Payloads: payloads[1:], NextOffset: 3}, 0, unknownStaleness},
		{"a snapshot", RelayedPage{Identity: "i", Snapshot: &statemachine.State{NextOffset: 9}, NextOffset: 9}, 9, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(cfg, statemachine.New())
			sent := clock.Now()
			clock.Advance(2 * time.Second)
			require.NoError(t, s.ApplyRelayed(c.page, sent))
			require.Equal(t, c.next, s.State().NextOffset)
			require.Equal(t, c.age, s.Staleness())
			foreign := c.page
			foreign.Identity = "j"
			require.Error(t, s.ApplyRelayed(foreign, sent))
		})
	}
}

// TestRelay_PayloadsThenSnapshot checks that payloads are relayed while they
// are retained, and a snapshot otherwise.
func TestRelay_PayloadsThenSnapshot(t *testing.T) {
	payloads := testPayloads(t, maxRecentPayloads+10)
	s := New(testConfig(fakelog.New(clockwork.NewRealClock()), "w"), statemachine.New())
	_, ok := s.Relay(0)
	require.False(t, ok)
	require.NoError(t, s.ApplyRelayed(RelayedPage{Identity: "i", Payloads: payloads, NextOffset: uint64(len(payloads))}, time.Now()))
	for _, from := range []uint64{0, 9, 10, 500, uint64(len(payloads)), uint64(len(payloads)) + 5} {
		page, ok := s.Relay(from)
		require.True(t, ok)
		require.Equal(t, from < 10, page.Snapshot != nil)
		other := New(testConfig(nil, "v"), replay(t, statemachine.New(), payloads[:min(from, uint64(len(payloads)))]))
		require.NoError(t, other.ApplyRelayed(page, time.Now()))
		require.Equal(t, encodeState(t, s.State()), encodeState(t, other.State()))
	}
}
