package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider/fakeworkers"
)

// TestUrgent_Faults checks the outcome of an urgent request against the
// workers' records, for combinations of faults of two VMs. Every request tries
// the first VM first.
func TestUrgent_Faults(t *testing.T) {
	type vmFaults = fakeworkers.Faults
	cases := map[string]struct {
		first, second vmFaults
		body          string
		timeout       time.Duration
		kind          OutcomeKind
	}{
		"none":                         {kind: Answered},
		"one unreachable":              {first: vmFaults{Unreachable: true}, kind: Answered},
		"one gone":                     {first: vmFaults{TimesOut: true}, kind: Answered},
		"one refuses":                  {first: vmFaults{RejectStarts: true}, kind: Answered},
		"one stops":                    {first: vmFaults{StopTasks: true}, kind: Answered},
		"one loses the reply":          {first: vmFaults{DropReplies: 9}, kind: Answered},
		"one crosses":                  {first: vmFaults{MismatchReplies: true}, kind: Answered},
		"one cuts short":               {first: vmFaults{TruncateReplies: true}, kind: Answered},
		"both unreachable":             {first: vmFaults{Unreachable: true}, second: vmFaults{Unreachable: true}, kind: NotRun},
		"both gone":                    {first: vmFaults{TimesOut: true}, second: vmFaults{TimesOut: true}, kind: NotRun},
		"both refuse":                  {first: vmFaults{RejectStarts: true}, second: vmFaults{RejectStarts: true}, kind: NotRun},
		"both stop":                    {first: vmFaults{StopTasks: true}, second: vmFaults{StopTasks: true}, kind: Failed},
		"both lose the reply":          {first: vmFaults{DropReplies: 9}, second: vmFaults{DropReplies: 9}, kind: Unknown},
		"both cross":                   {first: vmFaults{MismatchReplies: true}, second: vmFaults{MismatchReplies: true}, kind: Unknown},
		"both late":                    {first: vmFaults{ReplyDelay: time.Hour}, second: vmFaults{ReplyDelay: time.Hour}, kind: Unknown},
		"both fail":                    {first: vmFaults{FailTasks: true}, second: vmFaults{FailTasks: true}, kind: Failed},
		"lost reply, then refusal":     {first: vmFaults{DropReplies: 9}, second: vmFaults{RejectStarts: true}, kind: Unknown},
		"stop, then unreachable":       {first: vmFaults{StopTasks: true}, second: vmFaults{Unreachable: true}, kind: Failed},
		"the task fails":               {body: `{"fail":true}`, kind: Failed},
		"the task exceeds the timeout": {body: `{"work_ms":5000}`, timeout: time.Second, kind: Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := bubbleContext(t)
				fleet := newFleet(2)
				b := newTestDispatcher(ctx, t, "e", fleet, fleet, 2)
				fleet.SetFaults(vmID(0), c.first)
				fleet.SetFaults(vmID(1), c.second)
				checkUrgent(t, b, c.body, c.timeout, c.kind)
			})
		})
	}
}

// checkUrgent runs one request and checks it against the workers' records.
func checkUrgent(t *testing.T, b *testDispatcher, body string, timeout time.Duration, kind OutcomeKind) {
	t.Helper()
	if timeout == 0 {
		timeout = 5 * time.Second
	}
	outcome := b.Do(context.Background(), Request{Queue: "w.urgent", Key: testKey, Body: []byte(body), Timeout: timeout})
	starts := b.fleet.StartCounts()[outcome.RequestID]
	if outcome.Kind == NotRun {
		require.Zero(t, starts, "answered not_run, yet started")
	}
	if outcome.Kind == Answered {
		require.Equal(t, string(fakeworkers.ExpectedAnswer(outcome.RequestID, []byte(body))), string(outcome.Answer))
	}
	require.LessOrEqual(t, starts, maxAttempts)
	require.Equal(t, kind, outcome.Kind, outcome.Message)
}

// TestUrgent_RetriesStayWithinTheBudget checks that the retry budget limits the
// starts on a fleet where every task fails.
func TestUrgent_RetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(2)
		b := newTestDispatcher(bubbleContext(t), t, "e", fleet, fleet, 2)
		fleet.SetFaults(vmID(0), fakeworkers.Faults{StopTasks: true})
		fleet.SetFaults(vmID(1), fakeworkers.Faults{StopTasks: true})
		const requests = 500
		for range requests {
			b.Do(context.Background(), Request{Queue: "w.urgent", Key: testKey})
		}
		total := 0
		for _, n := range fleet.StartCounts() {
			total += n
		}
		require.Equal(t, requests+maxSavedRetries, total)
	})
}
