package timeline

import (
	"cmp"
	"slices"
)

// Event is an event of a process.
type Event struct {
	// AtUS is the process's wall clock, in Unix microseconds.
	AtUS int64 `json:"at_us"`
	// Entry is the incarnation that recorded the event.
	Entry string `json:"entry"`
	// Seq numbers the events of the process.
	Seq uint64 `json:"seq"`
	// Kind names what happened, such as "request_answered".
	Kind string `json:"kind"`
	// Offset is the control offset that the process had applied.
	Offset  uint64 `json:"offset"`
	Team    string `json:"team,omitempty"`
	VM      string `json:"vm,omitempty"`
	Request string `json:"request,omitempty"`
	Wave    string `json:"wave,omitempty"`
	// Detail is free text for human readers.
	Detail string `json:"detail,omitempty"`
}

// Filter selects events. Empty fields match all.
type Filter struct {
	Team    string
	VM      string
	Request string
	Wave    string
}

// Matches reports whether the event passes the filter.
func (f Filter) Matches(e Event) bool {
	return matches(f.Team, e.Team) && matches(f.VM, e.VM) && matches(f.Request, e.Request) && matches(f.Wave, e.Wave)
}

func matches(want, have string) bool {
	return want == "" || want == have
}

// Merge merges the events of several processes into one order: by time, and
// the events of one process always by their number.
func Merge(rings ...[]Event) []Event {
	var out []Event
	for _, ring := range rings {
		out = append(out, sortMonotonic(ring)...)
	}
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.AtUS, b.AtUS), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Seq, b.Seq))
	})
	return out
}

// sortMonotonic sorts one process's events by number and makes their times
// monotonic, so that a stepped clock does not reorder them.
func sortMonotonic(ring []Event) []Event {
	out := slices.Clone(ring)
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Seq, b.Seq) })
	for i := 1; i < len(out); i++ {
		out[i].AtUS = max(out[i].AtUS, out[i-1].AtUS)
	}
	return out
}
