package logstream

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestApplyRelayed_Freshness checks that a relayed state is never taken for
// younger than the sender's proof, counted from before the request.
func TestApplyRelayed_Freshness(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := testConfig(fakelog.New(clock), "w")
	cfg.Clock = clock
	payloads := history(t, 3)
	cases := []struct {
		name string
		page RelayedPage
		next uint64
		age  time.Duration
	}{
		{"payloads", RelayedPage{Identity: "i", Payloads: payloads, NextOffset: 3, Staleness: time.Second}, 3, 3 * time.Second},
		{"no age", RelayedPage{Identity: "i", Payloads: payloads, NextOffset: 3, Staleness: -1}, 3, never},
		{"not to the end", RelayedPage{Identity: "i", Payloads: payloads[:2], NextOffset: 3}, 2, never},
		{"a gap", RelayedPage{Identity: "i", From: 1, Payloads: payloads[1:], NextOffset: 3}, 0, never},
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

// TestRelay_BoundedAndWhole checks that payloads are passed on while they are
// kept, and the state after that.
func TestRelay_BoundedAndWhole(t *testing.T) {
	payloads := history(t, recentPayloads+10)
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
		require.Equal(t, encoded(t, s.State()), encoded(t, other.State()))
	}
}
