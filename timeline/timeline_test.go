package timeline

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMerge_Orders checks the order over processes, and that a clock that
// steps back does not reorder the events of one process.
func TestMerge_Orders(t *testing.T) {
	a := []Event{{AtUS: 10, Entry: "a", Seq: 1}, {AtUS: 5, Entry: "a", Seq: 2}, {AtUS: 30, Entry: "a", Seq: 3}}
	b := []Event{{AtUS: 20, Entry: "b", Seq: 2}, {AtUS: 7, Entry: "b", Seq: 1}}
	var order []string
	for _, e := range Merge(a, b) {
		order = append(order, fmt.Sprint(e.Entry, e.Seq))
	}
	require.Equal(t, []string{"b1", "a1", "a2", "b2", "a3"}, order)
}

// TestRing_KeepsTheLatest checks that the oldest events are overwritten.
func TestRing_KeepsTheLatest(t *testing.T) {
	ring := NewRing(3)
	for i := range 5 {
		ring.Add(Event{AtUS: int64(i), VM: fmt.Sprint("vm-", i%2)})
	}
	require.Len(t, ring.Events(Filter{}), 3)
	require.EqualValues(t, 3, ring.Events(Filter{})[0].Seq)
	require.Len(t, ring.Events(Filter{VM: "vm-0"}), 2)
}

func ExampleMerge() {
	entry1 := []Event{{AtUS: 100, Entry: "entry-1", Seq: 1, Kind: "request_answered"}}
	entry2 := []Event{{AtUS: 90, Entry: "entry-2", Seq: 1, Kind: "record_key_grant"}}
	for _, e := range Merge(entry1, entry2) {
		fmt.Println(e.Entry, e.Kind)
	}
	// Output:
	// entry-2 record_key_grant
	// entry-1 request_answered
}

// TestCursor_ReturnsEachEventOnce checks that a late event of one entry is returned
// after a later one of another entry was.
func TestCursor_ReturnsEachEventOnce(t *testing.T) {
	var cursor Cursor
	a1, a2, b1 := Event{Entry: "a", Seq: 1, AtUS: 1}, Event{Entry: "a", Seq: 2, AtUS: 9}, Event{Entry: "b", Seq: 1, AtUS: 5}
	require.Equal(t, []Event{a1, a2}, cursor.Next([]Event{a1, a2}))
	require.Equal(t, []Event{b1}, cursor.Next([]Event{a1, b1, a2}))
	require.Empty(t, cursor.Next([]Event{a1, b1, a2}))
}
