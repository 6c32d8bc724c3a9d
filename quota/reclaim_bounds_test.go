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

// TestReclaimBounds_Stage lists what the reclamation waits for.
func TestReclaimBounds_Stage(t *testing.T) {
	five := statemachine.Electorate{Size: 5}
	late := testBounds.SurveyAfter()
	cases := []struct {
		name  string
		facts ReclaimFacts
		want  ReclaimStage
	}{
		{"three of five unconfirmed", ReclaimFacts{Electorate: five, Unconfirmed: 3, Elapsed: late}, ReclaimWaitsForMajority},
		{"two unconfirmed and one reclaimed", ReclaimFacts{Electorate: statemachine.Electorate{Size: 5, Reclaimed: 1}, Unconfirmed: 2, Elapsed: late}, ReclaimWaitsForMajority},
		{"two unconfirmed and two left", ReclaimFacts{Electorate: statemachine.Electorate{Size: 5, MinBalance: -2}, Unconfirmed: 2, Elapsed: late}, ReclaimWaitsForMajority},
		{"half of four is no majority", ReclaimFacts{Electorate: statemachine.Electorate{Size: 4}, Unconfirmed: 2, Elapsed: late}, ReclaimReady},
		{"three of five unconfirmed, removal confirmed", ReclaimFacts{Electorate: five, Unconfirmed: 3, RemovalConfirmed: true, Elapsed: late}, ReclaimReady},
		{"removal confirmed but responsive", ReclaimFacts{Electorate: five, Unconfirmed: 3, RemovalConfirmed: true, Responsive: true, Elapsed: late}, ReclaimWaitsForMajority},
		{"removal confirmed, no time elapsed", ReclaimFacts{Electorate: five, Unconfirmed: 3, RemovalConfirmed: true}, ReclaimWaitsForLeases},
		{"removal confirmed and a task runs", ReclaimFacts{Electorate: five, Unconfirmed: 3, RemovalConfirmed: true, Elapsed: late, VMs: []VMEvidence{{QueriedAfter: late, Running: 1}}}, ReclaimWaitsForVMs},
		{"no time elapsed", ReclaimFacts{Electorate: five, Unconfirmed: 1}, ReclaimWaitsForLeases},
		{"just before the VMs' task lists are current", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late - 1}, ReclaimWaitsForLeases},
		{"a VM not queried", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late, VMs: []VMEvidence{{}}}, ReclaimWaitsForVMs},
		{"a VM queried too early", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late, VMs: []VMEvidence{{QueriedAfter: late - 1}}}, ReclaimWaitsForVMs},
		{"a task still runs", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late, VMs: []VMEvidence{{QueriedAfter: late}, {QueriedAfter: late, Running: 1}}}, ReclaimWaitsForVMs},
		{"all VMs are idle", ReclaimFacts{Electorate: five, Unconfirmed: 1, Elapsed: late, VMs: []VMEvidence{{QueriedAfter: late}, {QueriedAfter: late}}}, ReclaimReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, testBounds.Stage(c.facts))
		})
	}
}

// TestCountUnconfirmed checks which entries count as unconfirmed.
func TestCountUnconfirmed(t *testing.T) {
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
