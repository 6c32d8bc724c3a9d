package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// TestRecordCounters applies records of orders and jobs, some of them
// rejected, and checks the counters.
func TestRecordCounters(t *testing.T) {
	counters := newRecordCounters()
	state := statemachine.New()
	var seq uint64
	write := func(commands ...statemachine.Command) {
		for _, command := range commands {
			seq++
			batch := statemachine.Batch{Writer: "e", AtMS: 1000, Records: []statemachine.Record{{Seq: seq, Command: command}}}
			next, results := state.Apply(state.NextOffset, batch)
			state = next
			counters.observe(state, results)
		}
	}
	claim := &statemachine.Claim{Key: "k", KeyMS: 1000, Team: "porto"}
	order := statemachine.OrderID("porto", "k")
	settle := &statemachine.ClaimSettle{Order: order, Attempt: 1, Outcome: statemachine.OrderAnswered}
	write(claim, claim, settle, settle)
	finish := func(id string, attempt int, outcome statemachine.JobAttemptOutcome) statemachine.Command {
		return &statemachine.JobAttemptFinish{ID: id, Epoch: 1, Attempt: attempt, Outcome: outcome}
	}
	write(
		&statemachine.JobAccept{ID: "a", Team: "porto", Idempotent: true}, &statemachine.JobStart{ID: "a", Epoch: 1},
		finish("a", 1, statemachine.JobAttemptLost), &statemachine.JobStart{ID: "a", Epoch: 1}, finish("a", 2, statemachine.JobAttemptAnswered),
		&statemachine.JobAccept{ID: "b", Team: "porto"}, &statemachine.JobCancel{ID: "b", Team: "porto"}, &statemachine.JobCancel{ID: "b", Team: "porto"},
		&statemachine.JobAccept{ID: "c", Team: "porto"}, &statemachine.JobStart{ID: "c", Epoch: 1}, &statemachine.JobCancel{ID: "c", Team: "porto"},
		finish("c", 1, statemachine.JobAttemptStopped),
	)
	require.JSONEq(t, `{"claimed":1,"repeated":1,"answered":1,"accepted":3,"started":3,"done":1,"cancelled":2}`, counters.vars.String())
}
