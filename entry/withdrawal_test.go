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

// withdrawnBound is the time after its acceptance from which no entry admits
// work with a withdrawn key.
const withdrawnBound = 3 * time.Second

// schedulesPerCheck is the number of schedules in one run of rapid's check.
const schedulesPerCheck = 8

// modelEntry is one entry of the model.
type modelEntry struct {
	next  uint64
	asOf  time.Duration
	heard map[int]modelBeat
	// readable says whether the log was readable at the last step.
	readable bool
}

// modelBeat is what an entry last heard of another.
type modelBeat struct {
	at, asOf time.Duration
	next     uint64
	readable bool
}

// model is a set of entries with random links to the log and to each other. A
// withdrawal is the record at the offset.
type model struct {
	now      time.Duration
	state    *statemachine.State
	offset   uint64
	written  bool
	accepted time.Duration
	entries  []*modelEntry
	// sides tells which entries reach each other.
	sides []int
	rules
}

// rules are what the naive forms leave out.
type rules struct {
	// needsMajority is unset to accept a change as soon as it is in the log.
	needsMajority bool
	// trustsAhead is set to take a peer's proof whatever the peer has applied.
	trustsAhead bool
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
		m.entries = append(m.entries, &modelEntry{next: m.offset, heard: map[int]modelBeat{}})
	}
	return m
}

// pass lets time go by without a word.
func (m *model) pass(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(50, 900).Draw(t, "pass")) * time.Millisecond
}

// step draws who reaches whom and lets the entries read and talk.
func (m *model) step(t *rapid.T) {
	if m.sides == nil || rapid.IntRange(0, 11).Draw(t, "change") == 0 {
		m.cut(t)
	}
	for _, e := range m.entries {
		m.write(e, t)
		m.read(e)
	}
	for i, e := range m.entries {
		for j, other := range m.entries {
			if i != j && m.sides[i] == m.sides[j] {
				m.talk(t, e, j, other)
			}
		}
	}
}

// cut draws two sides that do not reach each other, and which entries reach
// the log.
func (m *model) cut(t *rapid.T) {
	m.sides = make([]int, len(m.entries))
	reach := []int{rapid.IntRange(0, 4).Draw(t, "reach"), rapid.IntRange(0, 4).Draw(t, "reach")}
	for i, e := range m.entries {
		m.sides[i] = rapid.IntRange(0, 1).Draw(t, "side")
		e.readable = rapid.IntRange(0, 3).Draw(t, "log") < reach[m.sides[i]]
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
	e.asOf = m.now
	if m.written {
		e.next = m.offset + 1
	}
}

// talk sends a heartbeat and, if the peer knows more, a relay request that may
// be lost.
func (m *model) talk(t *rapid.T, e *modelEntry, j int, other *modelEntry) {
	e.heard[j] = modelBeat{at: m.now, asOf: other.asOf, next: other.next, readable: other.readable}
	if other.next >= e.next && rapid.Bool().Draw(t, "relayed") {
		e.next, e.asOf = other.next, max(e.asOf, other.asOf)
	}
}

// accept notes the first time at which an entry tells its operator 200.
func (m *model) accept() {
	if m.accepted >= 0 || !m.written {
		return
	}
	for i, e := range m.entries {
		said := map[string]uint64{fmt.Sprint(i): e.next}
		for j, beat := range e.heard {
			said[fmt.Sprint(j)] = beat.next
		}
		if e.next > m.offset && (!m.needsMajority || isAccepted(m.state, said, m.offset)) {
			m.accepted = m.now
			return
		}
	}
}

// view is what the entry decides on.
func (m *model) view(e *modelEntry) controlView {
	age := m.now - e.asOf
	v := controlView{wallAge: age, monotonicAge: age, standing: standingMember, next: e.next, entries: len(m.entries)}
	for _, beat := range e.heard {
		if m.now-beat.at <= membership.ReachabilityTimeout {
			v.peers = append(v.peers, m.claim(e, beat))
		}
	}
	return v
}

// claim is what the entry makes of a heartbeat.
func (m *model) claim(e *modelEntry, beat modelBeat) membership.PeerStatus {
	out := membership.PeerStatus{LogReadable: beat.readable, NextOffset: beat.next, ControlStaleness: m.now - beat.asOf}
	if m.trustsAhead && m.now-beat.asOf <= currentFor {
		out.NextOffset = min(beat.next, e.next)
	}
	return out
}

// broken reports whether an entry admits work with the withdrawn key.
func (m *model) broken() bool {
	if m.accepted < 0 || m.now-m.accepted <= withdrawnBound {
		return false
	}
	for _, e := range m.entries {
		if e.next <= m.offset && m.view(e).current() {
			return true
		}
	}
	return false
}

// explore runs random schedules and returns how many broke the bound and how
// many times a change was accepted.
func explore(t *testing.T, r rules) (broken, accepted int) {
	check := func(t *rapid.T) {
		m := newModel(rapid.IntRange(2, 7).Draw(t, "entries"), r)
		for range 40 {
			m.pass(t)
			late := m.broken()
			m.step(t)
			m.accept()
			if late || m.broken() {
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
// whose withdrawal was accepted more than 3 s before, whoever reaches whom.
func TestWithdrawal_AcceptedByMajority(t *testing.T) {
	broken, accepted := explore(t, rules{needsMajority: true})
	t.Logf("accepted %d, broken %d", accepted, broken)
	require.Zero(t, broken)
	require.Greater(t, accepted, 10)
}

// TestWithdrawal_NaiveAcceptance shows that an answer given as soon as the
// record is in the log breaks the bound.
func TestWithdrawal_NaiveAcceptance(t *testing.T) {
	broken, accepted := explore(t, rules{})
	t.Logf("accepted %d, broken %d", accepted, broken)
	require.Positive(t, broken)
}

// TestWithdrawal_NaiveProof shows that a peer's proof says nothing of a state
// that has applied less.
func TestWithdrawal_NaiveProof(t *testing.T) {
	broken, accepted := explore(t, rules{needsMajority: true, trustsAhead: true})
	t.Logf("accepted %d, broken %d", accepted, broken)
	require.Positive(t, broken)
}

// TestIsAccepted is the table of who must have applied a change.
func TestIsAccepted(t *testing.T) {
	m := newModel(4, rules{needsMajority: true})
	said := func(names ...string) map[string]uint64 {
		out := map[string]uint64{}
		for _, name := range names {
			out[name] = m.offset + 1
		}
		return out
	}
	require.False(t, isAccepted(m.state, said("0", "1"), m.offset))
	require.True(t, isAccepted(m.state, said("0", "1", "2"), m.offset))
	require.False(t, isAccepted(m.state, said("0", "1", "x"), m.offset))
	require.False(t, isAccepted(m.state, map[string]uint64{"0": m.offset, "1": m.offset, "2": m.offset}, m.offset))
	require.False(t, isAccepted(statemachine.New(), nil, 0))

	// Four join two. The two that have not applied the change are a minority
	// of six, but the whole of the members that they may still know.
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
