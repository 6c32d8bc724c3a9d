package statemachine

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const limitTeam = "team"

// limitFixture applies single records of several writers to a state.
type limitFixture struct {
	state *State
	seqs  map[string]uint64
}

func newLimitFixture(limit int) *limitFixture {
	h := &limitFixture{state: New(), seqs: make(map[string]uint64)}
	h.write("operator", &TemplateSet{Template: Template{Name: "t"}})
	h.setLimit(limit, 0)
	return h
}

// write applies the command as the next record of the writer and returns its
// rejection, if any.
func (h *limitFixture) write(writer string, command Command) *Rejection {
	h.seqs[writer]++
	batch := Batch{Writer: writer, Records: []Record{{Seq: h.seqs[writer], Command: command}}}
	next, results := h.state.Apply(h.state.NextOffset, batch)
	h.state = next
	return results[0].Rejection
}

func (h *limitFixture) setLimit(limit int, version uint64) *Rejection {
	return h.write("operator", &WorkspaceSet{Workspace: Workspace{Name: "w", Template: "t", Team: limitTeam, Limit: limit}, Expected: version})
}

func (h *limitFixture) limit() int {
	w, _ := h.state.WorkspaceByTeam.Get(limitTeam)
	return w.Limit
}

func (h *limitFixture) total() int {
	a, ok := h.state.Allotments.Get(limitTeam)
	if !ok {
		return 0
	}
	return a.Total()
}

func (h *limitFixture) heldBy(entry string) int {
	a, ok := h.state.Allotments.Get(limitTeam)
	if !ok {
		return 0
	}
	return a.ByEntry[entry]
}

func (h *limitFixture) join(entry string) *Rejection {
	return h.write(entry, &EntryJoin{Entry: Entry{Incarnation: entry}})
}

// TestAllotments_SumStaysWithinTheLimit checks over random records that a sum
// above the limit is never raised and only follows from a lowered limit.
func TestAllotments_SumStaysWithinTheLimit(t *testing.T) {
	entries := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		h := newLimitFixture(rapid.IntRange(0, 12).Draw(t, "limit"))
		for range 60 {
			before := h.total()
			writer := rapid.SampledFrom(entries).Draw(t, "writer")
			other := rapid.SampledFrom(entries).Draw(t, "other")
			switch rapid.IntRange(0, 8).Draw(t, "record") {
			case 0:
				h.join(writer)
			case 1:
				h.write(writer, &EntryLeave{Incarnation: writer})
			case 2:
				h.write(writer, &EntryRemove{Incarnation: other})
			case 3:
				h.write(writer, &EntryReclaim{Incarnation: other})
			case 4:
				w, _ := h.state.WorkspaceByTeam.Get(limitTeam)
				h.setLimit(rapid.IntRange(0, 12).Draw(t, "new limit"), w.Version)
			default:
				held := h.heldBy(writer) + rapid.IntRange(0, 8).Draw(t, "stale")/8
				h.write(writer, &AllotmentAdjust{Team: limitTeam, Held: held, Delta: rapid.IntRange(-6, 6).Draw(t, "delta")})
			}
			if h.total() > h.limit() {
				require.LessOrEqual(t, h.total(), before)
			}
			for entry := range h.state.allotted() {
				_, ok := h.state.Entries.Get(entry)
				require.True(t, ok, "%s holds an allotment and is not an entry", entry)
			}
		}
	})
}

// allotted returns the entries that hold an allotment.
func (s *State) allotted() map[string]bool {
	out := make(map[string]bool)
	for _, a := range s.Allotments.All() {
		for entry := range a.ByEntry {
			out[entry] = true
		}
	}
	return out
}

// TestAllotmentAdjust_RepeatedIsRejected checks that an adjustment retried
// after an unknown outcome is not applied twice.
func TestAllotmentAdjust_RepeatedIsRejected(t *testing.T) {
	h := newLimitFixture(10)
	require.Nil(t, h.join("a"))
	require.Nil(t, h.write("a", &AllotmentAdjust{Team: limitTeam, Delta: 10}))
	lower := &AllotmentAdjust{Team: limitTeam, Held: 10, Delta: -2}
	require.Nil(t, h.write("a", lower))
	require.Equal(t, ReasonVersion, h.write("a", lower).Reason)
	require.Equal(t, 8, h.heldBy("a"))
}
