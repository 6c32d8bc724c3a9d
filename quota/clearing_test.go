package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

var testBounds = ReclaimBounds{
	MaxStateAge: 2 * time.Second, LoanTTL: 2 * time.Second, SlotLeaseTTL: time.Second, ClockMargin: 500 * time.Millisecond, UsageLag: 2 * time.Second,
}

// TestBounds_Stage is the table of what a clearing waits for.
func TestBounds_Stage(t *testing.T) {
	five := statemachine.Electorate{Size: 5}
	late := testBounds.SurveyAfter()
	cases := []struct {
		name  string
		facts ReclaimFacts
		want  ReclaimStage
	}{
		{"three of five may be silent", ReclaimFacts{Electorate: five, Unconfirmed: 3, Elapsed: late}, ReclaimWaitsForMajority},
		{"two silent and one cleared", ReclaimFacts{Electorate: statemachine.Electorate{Size: 5, Reclaimed: 1}, Unconfirmed: 2, Elapsed: late}, ReclaimWaitsForMajority},
		{"two silent and two left", ReclaimFacts{Electorate: statemachine.Electorate{Size: 5, MinBalance: -2}, Unconfirmed: 2, Elapsed: late}, ReclaimWaitsForMajority},
		{"half of four is no majority", ReclaimFacts{Electorate: statemachine.Electorate{Size: 4}, Unconfirmed: 2, Elapsed: late}, ReclaimReady},
		{"three of five may be silent, stated gone", ReclaimFacts{Electorate: five, Unconfirmed: 3, RemovalConfirmed: true, Elapsed: late}, ReclaimReady},
		{"stated gone and answers", ReclaimFacts{Electorate: five, Unconfirmed: 3, RemovalConfirmed: true, Responsive: true, Elapsed: late}, ReclaimWaitsForMajority},
		{"stated gone, at once", ReclaimFacts{Electorate: five, Unconfirmed: 3, RemovalConfirmed: true}, ReclaimWaitsForLeases},
		{"stated gone and a task runs", ReclaimFacts{Electorate: five, Unconfirmed: 3, RemovalConfirmed: true, Elapsed: late, VMs: []VMEvidence{{QueriedAfter: late, Running: 1}}}, ReclaimWaitsForVMs},
		{"at once", ReclaimFacts{Electorate: five, Unconfirmed: 1}, ReclaimWaitsForLeases},
		{"just before the record has caught up", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late - 1}, ReclaimWaitsForLeases},
		{"a VM not asked", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late, VMs: []VMEvidence{{}}}, ReclaimWaitsForVMs},
		{"a VM asked too early", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late, VMs: []VMEvidence{{QueriedAfter: late - 1}}}, ReclaimWaitsForVMs},
		{"a task still runs", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late, VMs: []VMEvidence{{QueriedAfter: late}, {QueriedAfter: late, Running: 1}}}, ReclaimWaitsForVMs},
		{"all VMs are empty", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late, VMs: []VMEvidence{{QueriedAfter: late}, {QueriedAfter: late}}}, ReclaimReady},
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
	require.Nil(t, log.write("a", &statemachine.EntryRemove{Incarnation: "c"}).Rejection)
	require.Nil(t, log.write("d", &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: "d"}}).Rejection)
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
	require.Equal(t, 3, CountUnconfirmed(log.state, removed, known()))
	require.Equal(t, 2, CountUnconfirmed(log.state, removed, known("a")))
	require.Equal(t, 1, CountUnconfirmed(log.state, removed, known("a", "b", "c", "d")))
}
