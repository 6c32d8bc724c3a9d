package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

var testBounds = Bounds{
	Current: 2 * time.Second, Loan: 2 * time.Second, SlotLease: time.Second, Margin: 500 * time.Millisecond, UsageLag: 2 * time.Second,
}

// TestBounds_Stage is the table of what a clearing waits for.
func TestBounds_Stage(t *testing.T) {
	five := statemachine.Electorate{Size: 5}
	late := testBounds.ListAfter()
	cases := []struct {
		name  string
		facts ClearFacts
		want  ClearStage
	}{
		{"three of five may be silent", ClearFacts{Electorate: five, Unconfirmed: 3, Waited: late}, ClearWaitsForMajority},
		{"two silent and one cleared", ClearFacts{Electorate: statemachine.Electorate{Size: 5, Cleared: 1}, Unconfirmed: 2, Waited: late}, ClearWaitsForMajority},
		{"two silent and two left", ClearFacts{Electorate: statemachine.Electorate{Size: 5, LeastBalance: -2}, Unconfirmed: 2, Waited: late}, ClearWaitsForMajority},
		{"half of four is no majority", ClearFacts{Electorate: statemachine.Electorate{Size: 4}, Unconfirmed: 2, Waited: late}, ClearReady},
		{"three of five may be silent, stated gone", ClearFacts{Electorate: five, Unconfirmed: 3, Gone: true, Waited: late}, ClearReady},
		{"stated gone and answers", ClearFacts{Electorate: five, Unconfirmed: 3, Gone: true, Answers: true, Waited: late}, ClearWaitsForMajority},
		{"stated gone, at once", ClearFacts{Electorate: five, Unconfirmed: 3, Gone: true}, ClearWaitsForLeases},
		{"stated gone and a task runs", ClearFacts{Electorate: five, Unconfirmed: 3, Gone: true, Waited: late, VMs: []VMEvidence{{AskedAfter: late, Running: 1}}}, ClearWaitsForVMs},
		{"at once", ClearFacts{Electorate: five, Unconfirmed: 1}, ClearWaitsForLeases},
		{"just before the record has caught up", ClearFacts{Electorate: five, Unconfirmed: 1, Waited: late - 1}, ClearWaitsForLeases},
		{"a VM not asked", ClearFacts{Electorate: five, Unconfirmed: 1, Waited: late, VMs: []VMEvidence{{}}}, ClearWaitsForVMs},
		{"a VM asked too early", ClearFacts{Electorate: five, Unconfirmed: 1, Waited: late, VMs: []VMEvidence{{AskedAfter: late - 1}}}, ClearWaitsForVMs},
		{"a task still runs", ClearFacts{Electorate: five, Unconfirmed: 1, Waited: late, VMs: []VMEvidence{{AskedAfter: late}, {AskedAfter: late, Running: 1}}}, ClearWaitsForVMs},
		{"all VMs are empty", ClearFacts{Electorate: five, Unconfirmed: 1, Waited: late, VMs: []VMEvidence{{AskedAfter: late}, {AskedAfter: late}}}, ClearReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, testBounds.Stage(c.facts))
		})
	}
}

// TestUnconfirmed checks who counts as not having applied a removal.
func TestUnconfirmed(t *testing.T) {
	log := newFakeLog(t, 1, "a", "b", "c")
	require.Nil(t, log.write("a", &statemachine.EntryRemove{Incarnation: "c"}).Void)
	require.Nil(t, log.write("d", &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: "d"}}).Void)
	removed, _ := log.state.Entries.Get("c")
	known := func(names ...string) func(string) bool {
		return func(incarnation string) bool {
			for _, name := range names {
				if name == incarnation {
					return true
				}
			}
			return false
		}
	}
	require.Equal(t, 3, Unconfirmed(log.state, removed, known()))
	require.Equal(t, 2, Unconfirmed(log.state, removed, known("a")))
	require.Equal(t, 1, Unconfirmed(log.state, removed, known("a", "b", "c", "d")))
}

// TestSinceBoth checks that a jump of the wall clock lengthens no wait.
func TestSinceBoth(t *testing.T) {
	then := time.Now()
	require.Equal(t, 3*time.Second, sinceBoth(then.Add(3*time.Second), then))
	require.Equal(t, time.Second, sinceBoth(then.Add(3*time.Second), then.Round(0).Add(2*time.Second)))
}
