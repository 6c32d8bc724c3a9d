package statemachine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// joinBatch returns a batch in which the writer joins at the given minute.
func joinBatch(writer string, minute int64) Batch {
	return Batch{Writer: writer, AtMS: minute * 60_000, Records: []Record{
		{Seq: 1, Command: &EntryJoin{Entry: Entry{Incarnation: writer}}},
	}}
}

func leaveBatch(writer string, minute int64) Batch {
	return Batch{Writer: writer, AtMS: minute * 60_000, Records: []Record{
		{Seq: 2, Command: &EntryLeave{Incarnation: writer}},
	}}
}

// TestPrune_PositionsAreBounded replaces eight entries for weeks: few positions
// are retained, and a late copy of an old batch takes no effect.
func TestPrune_PositionsAreBounded(t *testing.T) {
	const members, replacements = 8, 2000
	s := New()
	apply := func(b Batch) Result {
		next, results := s.Apply(s.NextOffset, b)
		s = next
		return results[0]
	}
	name := func(i int) string { return fmt.Sprintf("entry-%05d", i) }
	for i := range replacements {
		minute := int64(1000 + 15*i)
		require.Nil(t, apply(joinBatch(name(i), minute)).Rejection)
		if i >= members {
			require.Nil(t, apply(leaveBatch(name(i-members), minute)).Rejection)
		}
		require.LessOrEqual(t, s.Writers.Len(), 3*members)
	}
	late := apply(joinBatch(name(0), 1000))
	require.Equal(t, ReasonDuplicate, late.Rejection.Reason)
	require.Equal(t, ReasonDuplicate, apply(joinBatch(name(replacements-1), 1000+15*(replacements-1))).Rejection.Reason)
}

// TestPrune_WrongClock checks that a member whose clock is a year ahead causes
// no early pruning and no rejected join.
func TestPrune_WrongClock(t *testing.T) {
	const year = 365 * 24 * 60
	s := New()
	for i, minute := range []int64{1000, 1001, year, 1002} {
		s, _ = s.Apply(s.NextOffset, joinBatch(fmt.Sprint(i), minute))
	}
	s, _ = s.Apply(s.NextOffset, leaveBatch("0", 1003))
	s, _ = s.Apply(s.NextOffset, joinBatch("late", 1004))
	_, ok := s.Writers.Get("0")
	require.True(t, ok)
	s, results := s.Apply(s.NextOffset, joinBatch("new", 1005))
	require.Nil(t, results[0].Rejection)
	require.Equal(t, 5, s.Entries.Len())
}
