package entry

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// withdrawalBound is the time after the acceptance of a withdrawal from which
// no entry admits work with the key.
const withdrawalBound = 3 * time.Second

// schedulesPerCheck is the number of schedules in one run of rapid's check.
const schedulesPerCheck = 8

// modelEntry is one entry of the model.
type modelEntry struct {
	nextOffset uint64
	currentAt  time.Duration
	heartbeats map[int]modelHeartbeat
	// readable reports whether the log was readable at the last step.
	readable bool
}

// modelHeartbeat is the last heartbeat that an entry received from another.
type modelHeartbeat struct {
	sentAt, currentAt time.Duration
	nextOffset        uint64
	readable          bool
}

// model is a set of entries with random links to the log and to each other. The
// record at the offset is the withdrawal.
type model struct {
	now      time.Duration
	state    *statemachine.State
	offset   uint64
	written  bool
	accepted time.Duration
	entries  []*modelEntry
	// partitions holds the partition of each entry.
	partitions []int
	rules
}

// rules select the mechanisms that the unsafe variants lack.
type rules struct {
	// needsMajority is unset to accept a change as soon as it is in the log.
	needsMajority bool
	// trustsPeerAhead is set to accept a peer's proof whatever its offset is.
	trustsPeerAhead bool
}

func newModel(entries int, r rules) *model {
	m := &model{state: statemachine.New(), rules: r, accepted: -1}
	for i := range entries {
		name := fmt.Sprint(i)
		m.state, _ = m.state.Apply(m.state.NextOffset, statemachine.Batch{Writer: name, Records: []statemachine.Record{
			{Seq: 1, Command: &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: name}}},
		}})
	}
	for i := range entries {
		name := fmt.Sprint(i)
		m.state, _ = m.state.Apply(m.state.NextOffset, statemachine.Batch{Writer: name, Records: []statemachine.Record{
			{Seq: 2, Command: &statemachine.EntryAck{Version: m.state.MembershipVersion}},
		}})
	}
	m.offset = m.state.NextOffset
	for range entries {
		m.entries = append(m.entries, &modelEntry{nextOffset: m.offset, heartbeats: map[int]modelHeartbeat{}})
	}
	return m
}

// advance advances the clock without any exchange.
func (m *model) advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(50, 900).Draw(t, "pass")) * time.Millisecond
}

// step draws the partitions and lets the entries read and exchange heartbeats.
func (m *model) step(t *rapid.T) {
	if m.partitions == nil || rapid.IntRange(0, 11).Draw(t, "change") == 0 {
		m.partition(t)
	}
	for _, e := range m.entries {
		m.write(e, t)
		m.read(e)
	}
	for i, e := range m.entries {
		for j, other := range m.entries {
			if i != j && m.partitions[i] == m.partitions[j] {
				m.exchange(t, e, j, other)
			}
		}
	}
}

// partition draws two partitions and the entries that reach the log.
func (m *model) partition(t *rapid.T) {
	m.partitions = make([]int, len(m.entries))
	reach := []int{rapid.IntRange(0, 4).Draw(t, "reach"), rapid.IntRange(0, 4).Draw(t, "reach")}
	for i, e := range m.entries {
		m.partitions[i] = rapid.IntRange(0, 1).Draw(t, "side")
		e.readable = rapid.IntRange(0, 3).Draw(t, "log") < reach[m.partitions[i]]
	}
}

// write lets an entry that reaches the log write the withdrawal.
func (m *model) write(e *modelEntry, t *rapid.T) {
	if e.readable && !m.written && rapid.Bool().Draw(t, "withdraw") {
		m.written = true
	}
}

func (m *model) read(e *modelEntry) {
	if !e.readable {
		return
	}
	e.currentAt = m.now
	if m.written {
		e.nextOffset = m.offset + 1
	}
}

// exchange sends a heartbeat and, if the peer is not behind, a relay request
// that may be lost.
func (m *model) exchange(t *rapid.T, e *modelEntry, j int, other *modelEntry) {
	e.heartbeats[j] = modelHeartbeat{sentAt: m.now, currentAt: other.currentAt, nextOffset: other.nextOffset, readable: other.readable}
	if other.nextOffset >= e.nextOffset && rapid.Bool().Draw(t, "relayed") {
		e.nextOffset, e.currentAt = other.nextOffset, max(e.currentAt, other.currentAt)
	}
}

// recordAcceptance records when an entry first responds to its operator with
// 200.
func (m *model) recordAcceptance() {
	if m.accepted >= 0 || !m.written {
		return
	}
	for i, e := range m.entries {
		offsets := map[string]uint64{fmt.Sprint(i): e.nextOffset}
		for j, heartbeat := range e.heartbeats {
			offsets[fmt.Sprint(j)] = heartbeat.nextOffset
		}
		if e.nextOffset > m.offset && (!m.needsMajority || isAccepted(m.state, offsets, m.offset)) {
			m.accepted = m.now
			return
		}
	}
}

// view returns the inputs of the entry's decision.
func (m *model) view(e *modelEntry) controlView {
	age := m.now - e.currentAt
	v := controlView{wallStaleness: age, monotonicStaleness: age, status: statusMember, nextOffset: e.nextOffset, memberCount: len(m.entries)}
	for _, heartbeat := range e.heartbeats {
		if m.now-heartbeat.sentAt <= membership.ReachabilityTimeout {
			v.peers = append(v.peers, m.peerStatus(e, heartbeat))
		}
	}
	return v
}

// peerStatus returns the peer status that the entry derives from a heartbeat.
func (m *model) peerStatus(e *modelEntry, heartbeat modelHeartbeat) membership.PeerStatus {
	out := membership.PeerStatus{LogReadable: heartbeat.readable, NextOffset: heartbeat.nextOffset, ControlStaleness: m.now - heartbeat.currentAt}
	if m.trustsPeerAhead && m.now-heartbeat.currentAt <= maxControlStaleness {
		out.NextOffset = min(heartbeat.nextOffset, e.nextOffset)
	}
	return out
}

// isViolated reports whether an entry admits work with the withdrawn key after
// the bound.
func (m *model) isViolated() bool {
	if m.accepted < 0 || m.now-m.accepted <= withdrawalBound {
		return false
	}
	for _, e := range m.entries {
		if e.nextOffset <= m.offset && m.view(e).isCurrent() {
			return true
		}
	}
	return false
}

// explore runs random schedules and returns how many violated the bound and in
// how many a change was accepted.
func explore(t *testing.T, r rules) (broken, accepted int) {
	check := func(t *rapid.T) {
		m := newModel(rapid.IntRange(2, 7).Draw(t, "entries"), r)
		for range 40 {
			m.advance(t)
			violatedBefore := m.isViolated()
			m.step(t)
			m.recordAcceptance()
			if violatedBefore || m.isViolated() {
				broken++
				return
			}
		}
		if m.accepted >= 0 {
			accepted++
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		for range schedulesPerCheck {
			check(t)
		}
	})
	return broken, accepted
}

// TestWithdrawal_AcceptedByMajority checks that no entry admits work with a key
// whose withdrawal was accepted more than 3 s before, under any partition.
func TestWithdrawal_AcceptedByMajority(t *testing.T) {
	broken, accepted := explore(t, rules{needsMajority: true})
	t.Logf("accepted %d, broken %d", accepted, broken)
	require.Zero(t, broken)
	require.Greater(t, accepted, 10)
}

// TestWithdrawal_AcceptanceWithoutMajorityIsUnsafe shows that accepting a
// change as soon as the record is in the log violates the bound.
func TestWithdrawal_AcceptanceWithoutMajorityIsUnsafe(t *testing.T) {
	broken, accepted := explore(t, rules{})
	t.Logf("accepted %d, broken %d", accepted, broken)
	require.Positive(t, broken)
}

// TestWithdrawal_ProofOfPeerAheadIsUnsafe shows that a peer's proof does not
// prove a state with a lower offset current.
func TestWithdrawal_ProofOfPeerAheadIsUnsafe(t *testing.T) {
	broken, accepted := explore(t, rules{needsMajority: true, trustsPeerAhead: true})
	t.Logf("accepted %d, broken %d", accepted, broken)
	require.Positive(t, broken)
}

// TestIsAccepted covers which entries must have applied a change.
func TestIsAccepted(t *testing.T) {
	m := newModel(4, rules{needsMajority: true})
	offsets := func(names ...string) map[string]uint64 {
		out := map[string]uint64{}
		for _, name := range names {
			out[name] = m.offset + 1
		}
		return out
	}
	require.False(t, isAccepted(m.state, offsets("0", "1"), m.offset))
	require.True(t, isAccepted(m.state, offsets("0", "1", "2"), m.offset))
	require.False(t, isAccepted(m.state, offsets("0", "1", "x"), m.offset))
	require.False(t, isAccepted(m.state, map[string]uint64{"0": m.offset, "1": m.offset, "2": m.offset}, m.offset))
	require.False(t, isAccepted(statemachine.New(), nil, 0))

	// Four entries join two. The two that have not applied the change are a
	// minority of six, but all of the members that they may still know.
	small := newModel(2, rules{needsMajority: true})
	for _, name := range []string{"a", "b", "c", "d"} {
		small.state, _ = small.state.Apply(small.state.NextOffset, statemachine.Batch{Writer: name, Records: []statemachine.Record{
			{Seq: 1, Command: &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: name}}},
		}})
	}
	joined := map[string]uint64{}
	for _, name := range []string{"a", "b", "c", "d"} {
		joined[name] = small.state.NextOffset + 1
	}
	require.False(t, isAccepted(small.state, joined, small.state.NextOffset))
}
