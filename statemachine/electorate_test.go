package statemachine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// stateViews holds the members of each state that an entry can have read, by
// the offset that follows it.
type stateViews struct {
	*limitFixture
	members map[uint64][]string
	// versions holds the offset of the first state of each membership version.
	versions  map[uint64]uint64
	reclaimed map[string]bool
	joined    int
}

func newStateViews() *stateViews {
	return &stateViews{limitFixture: newLimitFixture(1), members: map[uint64][]string{}, versions: map[uint64]uint64{}, reclaimed: map[string]bool{}}
}

// step writes one random record and saves the members after it.
func (v *stateViews) step(t *rapid.T) {
	writer := fmt.Sprintf("e%d", rapid.IntRange(0, max(0, v.joined-1)).Draw(t, "writer"))
	other := fmt.Sprintf("e%d", rapid.IntRange(0, max(0, v.joined-1)).Draw(t, "other"))
	switch rapid.IntRange(0, 6).Draw(t, "record") {
	case 0:
		v.join(fmt.Sprintf("e%d", v.joined))
		v.joined++
	case 1:
		v.write(writer, &EntryLeave{Incarnation: writer})
	case 2, 3:
		v.write(writer, &EntryAck{Version: v.state.MembershipVersion})
	case 4, 5:
		v.write(writer, &EntryRemove{Incarnation: other})
	case 6:
		if v.write(writer, &EntryReclaim{Incarnation: other}) == nil {
			v.reclaimed[other] = true
		}
	}
	for incarnation := range v.state.Entries.All() {
		v.members[v.state.NextOffset] = append(v.members[v.state.NextOffset], incarnation)
	}
	if _, ok := v.versions[v.state.MembershipVersion]; !ok {
		v.versions[v.state.MembershipVersion] = v.state.NextOffset
	}
}

// check compares CanHaveMajority of a removed entry with every state that the
// entry can have applied.
func (v *stateViews) check(t *rapid.T, removed *Entry, canHaveMajority func(Electorate, int) bool) error {
	unresponsive := map[string]bool{removed.Incarnation: true}
	for other, entry := range v.state.Entries.All() {
		if entry.JoinedAt < removed.RemovedAt && rapid.Bool().Draw(t, "unresponsive") {
			unresponsive[other] = true
		}
	}
	if canHaveMajority(removed.Electorate, len(unresponsive)) {
		return nil
	}
	for next := v.versions[removed.AcknowledgedVersion]; next <= removed.RemovedAt; next++ {
		votes := 0
		for _, member := range v.members[next] {
			if unresponsive[member] || v.reclaimed[member] {
				votes++
			}
		}
		if 2*votes > len(v.members[next]) {
			return fmt.Errorf("%d votes of %d members at offset %d", votes, len(v.members[next]), next)
		}
	}
	return nil
}

func (v *stateViews) checkAll(t *rapid.T, canHaveMajority func(Electorate, int) bool) error {
	for _, entry := range v.state.Entries.All() {
		if entry.State != EntryRemoved {
			continue
		}
		if err := v.check(t, entry, canHaveMajority); err != nil {
			return err
		}
	}
	return nil
}

// TestElectorate_BoundsEveryMajority checks that once CanHaveMajority is false,
// the entries that have not applied the removal, together with those reclaimed
// meanwhile, are no majority of any state that the removed entry can have
// applied.
func TestElectorate_BoundsEveryMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newStateViews()
		for range 40 {
			v.step(t)
			require.NoError(t, v.checkAll(t, Electorate.CanHaveMajority))
		}
	})
}

// TestElectorate_CurrentEntriesRuleIsUnsafe shows a schedule that breaks the
// rule "more than half of the current entries have applied the removal": two of
// three entries are partitioned, and others join.
func TestElectorate_CurrentEntriesRuleIsUnsafe(t *testing.T) {
	h := newLimitFixture(1)
	for _, entry := range []string{"a", "b", "c"} {
		require.Nil(t, h.join(entry))
	}
	for _, entry := range []string{"a", "b", "c"} {
		require.Nil(t, h.write(entry, &EntryAck{Version: h.state.MembershipVersion}))
	}
	for _, entry := range []string{"d", "e", "f"} {
		require.Nil(t, h.join(entry))
	}
	require.Nil(t, h.write("c", &EntryRemove{Incarnation: "a"}))
	removed, _ := h.state.Entries.Get("a")
	const unresponsive = 2
	ruleRefuses := 2*(h.state.Entries.Len()-unresponsive) <= h.state.Entries.Len()
	require.False(t, ruleRefuses, "the rule on the current entries permits reclamation")
	require.True(t, removed.Electorate.CanHaveMajority(unresponsive), "a and b are more than half of the three that they know")
	require.False(t, removed.Electorate.CanHaveMajority(1))
}
