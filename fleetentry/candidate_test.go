package fleetentry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

// TestCandidate_AfterStoreOutage ends an outage of the store that was longer than the
// election timeout: the first entry to read again must not claim at once. The leader may
// go on, and an entry with little of a processor leaves the others time (seen on
// benchmark day trouble-3 of a further deployment).
func TestCandidate_AfterStoreOutage(t *testing.T) {
	start := time.Now()
	candidate := func(cpuShare float64) *Candidate {
		f := NewFollower(nil, hclog.NewNullLogger())
		f.view.LeaderOffset, f.view.Leader.FencingToken = 1, 1
		f.lastLeaderRecordAt, f.ledger.lastReadAt = start, start
		c := NewCandidate(nil, f, "entry", cpuShare, hclog.NewNullLogger())
		c.startedAt = start.Add(-time.Minute)
		return c
	}
	campaigns := func(c *Candidate, at time.Time, read bool) bool {
		if read {
			c.follower.ledger.lastReadAt = at
		}
		due, _ := c.shouldCampaign(at)
		return due
	}
	large, small := candidate(0.8), candidate(0.2)
	back := start.Add(4 * time.Second)
	for _, c := range []*Candidate{large, small} {
		require.False(t, campaigns(c, back, false), "campaigns without the store")
		require.False(t, campaigns(c, back, true), "campaigns before the leader could send a heartbeat")
	}
	later := back.Add(missedHeartbeatTimeout + electionJitter + 10*time.Millisecond)
	require.True(t, campaigns(large, later, true))
	require.False(t, campaigns(small, later, true), "an entry with little of a processor goes first")
	require.True(t, campaigns(small, later.Add(smallEntryDelay), true))
}

// TestCandidate_LeaderLostInStoreOutage loses the leader while its stream is away: the first
// read afterwards returns heartbeats from before the outage, which are no sign of life, and
// the wait for a new leader began anew with it.
func TestCandidate_LeaderLostInStoreOutage(t *testing.T) {
	const outage = 3 * time.Second
	for name, test := range map[string]struct {
		heartbeatAge time.Duration
		alive        bool
	}{
		"from before the outage":                 {heartbeatAge: outage, alive: false},
		"from a leader that goes on":             {heartbeatAge: heartbeatInterval, alive: true},
		"from a leader whose clock is far ahead": {heartbeatAge: -outage, alive: true},
	} {
		t.Run(name, func(t *testing.T) {
			back := time.Now()
			f := NewFollower(nil, hclog.NewNullLogger())
			f.lastLeaderRecordAt, f.ledger.lastReadAt = back.Add(-outage), back.Add(-outage)
			heartbeat := ledger.LeaderRecord(ledger.Leader{FencingToken: 1, AtMillis: back.Add(-test.heartbeatAge).UnixMilli()})
			f.applyRead(f.ledger, fleet.Records{Items: []fleet.Record{heartbeat}, Next: 1, End: 1}, back, false, true)
			require.Equal(t, test.alive, f.SinceLeaderHeartbeat(back) < electionTimeout)
			f.applyRead(f.ledger, fleet.Records{Items: []fleet.Record{heartbeat}, Next: 2, End: 2}, back, false, true)
			require.Less(t, f.SinceLeaderHeartbeat(back), electionTimeout, "heartbeats read without a gap count whatever the clocks say")
		})
	}
}

// claimStore is a store of which only the stream of claims is used.
type claimStore struct {
	Store
	end int64
}

func (s *claimStore) Append(_ context.Context, _ string, records []fleet.Record, options fleet.AppendOptions) (first, end int64, err error) {
	if options.Conditional && options.ExpectedEnd != s.end {
		return 0, s.end, &provider.Error{Outcome: provider.Refused, Code: provider.CodeConflict}
	}
	first = s.end
	s.end += int64(len(records))
	return first, s.end, nil
}

// TestCandidate_TokensOfATerm guards against a leader whose first token is not higher than all
// that the one before it has sent to workers.
func TestCandidate_TokensOfATerm(t *testing.T) {
	store := &claimStore{end: 7} // Earlier releases claimed one token each.
	follower := NewFollower(store, hclog.NewNullLogger())
	follower.view.LeaderOffset = 0
	last := int64(7)
	for range 3 {
		now := time.Now()
		follower.view.Leader.Resigned = true
		follower.lastLeaderRecordAt, follower.ledger.lastReadAt = now.Add(-time.Minute), now
		c := NewCandidate(store, follower, "entry", 1, hclog.NewNullLogger())
		c.claimsEnd = store.end
		token, ok := c.Campaign(t.Context(), now)
		require.True(t, ok)
		require.Greater(t, token, last)
		last = token + tokensPerTerm - 1
		require.False(t, c.leaderHoldsLastClaim(store.end), "the leader has not written to the ledger")
		l := &Leader{fencingToken: token, follower: follower}
		follower.view.Leader = l.status(now, false)
		require.True(t, c.leaderHoldsLastClaim(store.end))
	}
}
