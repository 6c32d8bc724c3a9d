package statemachine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const baseTimeMS = int64(1_800_000_000_000)

// testLog encodes, decodes and applies single records of several writers.
type testLog struct {
	state *State
	seqs  map[string]uint64
}

func (l *testLog) apply(t require.TestingT, writer string, atMS int64, c Command) *Rejection {
	l.seqs[writer]++
	payload, err := EncodeBatch(Batch{Writer: writer, AtMS: atMS, Records: []Record{{Seq: l.seqs[writer], Command: c}}})
	require.NoError(t, err)
	batch, err := DecodeBatch(payload)
	require.NoError(t, err)
	next, results := l.state.Apply(l.state.NextOffset, batch)
	l.state = next
	return results[0].Rejection
}

func newTestLog() *testLog { return &testLog{state: New(), seqs: make(map[string]uint64)} }

func newClaim(team, key string, keyMS int64) *Claim {
	return &Claim{Team: team, Key: key, KeyMS: keyMS, BodyHash: "hash"}
}

func rejectionReason(v *Rejection) Reason {
	if v == nil {
		return ""
	}
	return v.Reason
}

func TestClaim_Table(t *testing.T) {
	id := OrderID("team", "key")
	settle := func(number int, outcome OrderOutcome) *ClaimSettle {
		return &ClaimSettle{Order: id, Attempt: number, Outcome: outcome}
	}
	window, ahead := ClaimWindow.Milliseconds(), MaxKeyClockSkew.Milliseconds()
	cases := []struct {
		name    string
		command Command
		reason  Reason
	}{
		{"settle without a claim", settle(1, OrderAnswered), ReasonNotFound},
		{"claim too old", newClaim("team", "key", baseTimeMS-window-1), ReasonExpired},
		{"claim too far ahead", newClaim("team", "key", baseTimeMS+ahead+1), ReasonExpired},
		{"claim", newClaim("team", "key", baseTimeMS), ""},
		{"second claim", newClaim("team", "key", baseTimeMS), ReasonExists},
		{"claim of another team", newClaim("other", "key", baseTimeMS), ""},
		{"settle of a later claim", settle(2, OrderAnswered), ReasonVersion},
		{"settle without an outcome", settle(1, ""), ReasonInvalid},
		{"settle with too large an answer", &ClaimSettle{Order: id, Attempt: 1, Outcome: OrderAnswered, Answer: make([]byte, MaxRecordedAnswerBytes+1)}, ReasonInvalid},
		{"release", settle(1, OrderReleased), ""},
		{"settle after the release", settle(1, OrderAnswered), ReasonExists},
		{"claim after the release with another body", &Claim{Team: "team", Key: "key", KeyMS: baseTimeMS, BodyHash: "other"}, ReasonExists},
		{"claim after the release", newClaim("team", "key", baseTimeMS), ""},
		{"settle of the released claim", settle(1, OrderAnswered), ReasonVersion},
		{"settle", settle(2, OrderAnswered), ""},
		{"claim after the settle", newClaim("team", "key", baseTimeMS), ReasonExists},
		{"streams", &StreamCountSet{Prefix: "orders", Count: 2}, ""},
		{"streams changed", &StreamCountSet{Prefix: "orders", Count: 3}, ReasonExists},
		{"no streams", &StreamCountSet{Prefix: "jobs"}, ReasonInvalid},
	}
	log := newTestLog()
	for _, c := range cases {
		require.Equal(t, c.reason, rejectionReason(log.apply(t, "e", baseTimeMS, c.command)), c.name)
	}
	require.Equal(t, 1, log.state.UnsettledOrders.Len())
}

// TestClaim_PrunedOrderNeverRunsAgain claims and settles with clocks that are
// hours off. A key that was claimed and not released must never be claimed
// again, retained or pruned, and the state stays bounded.
func TestClaim_PrunedOrderNeverRunsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newTestLog()
		claimed := make(map[string]bool)
		now := baseTimeMS
		for range rapid.IntRange(1, 120).Draw(t, "records") {
			now += rapid.Int64Range(0, 4*time.Hour.Milliseconds()).Draw(t, "passed")
			skew := rapid.Int64Range(-30, 30).Draw(t, "skew") * time.Hour.Milliseconds()
			keyMS := baseTimeMS + rapid.Int64Range(0, 40).Draw(t, "key")*6*time.Hour.Milliseconds()
			key := fmt.Sprint(keyMS)
			rejection := log.apply(t, "e", now+skew, newClaim("team", key, keyMS))
			if rejection != nil {
				continue
			}
			require.False(t, claimed[key], "claimed twice")
			release := rapid.Bool().Draw(t, "release")
			claimed[key] = !release
			if release {
				order, _ := log.state.Orders.Get(OrderID("team", key))
				require.Nil(t, log.apply(t, "e", now+skew, &ClaimSettle{Order: OrderID("team", key), Attempt: order.Attempt, Outcome: OrderReleased}))
			}
		}
		require.Equal(t, log.state.Orders.Len(), log.state.OrdersByAge.Len())
	})
}

// TestClaim_StateIsBounded checks that at a steady rate the state retains the
// claims of one window only.
func TestClaim_StateIsBounded(t *testing.T) {
	log := newTestLog()
	const perDay = 200
	step := ClaimWindow.Milliseconds() / perDay
	for i := range int64(5 * perDay) {
		at := baseTimeMS + i*step
		require.Nil(t, log.apply(t, "e", at, newClaim("team", fmt.Sprint(i), at)))
	}
	require.LessOrEqual(t, log.state.Orders.Len(), perDay+1)
	require.LessOrEqual(t, log.state.UnsettledOrders.Len(), perDay+1)
}
