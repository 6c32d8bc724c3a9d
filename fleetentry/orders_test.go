package fleetentry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

// scriptedWorkers answers starts with the errors in turn.
type scriptedWorkers struct {
	Workers
	answers []error
	calls   int
}

func (s *scriptedWorkers) Start(context.Context, fleet.Endpoint, fleet.StartRequest) (int64, error) {
	s.calls++
	return 0, s.answers[s.calls-1]
}

// TestTrySend_OutcomeOfTries replays starts whose first tries had no answer: a
// refusal of a later one says nothing of them (TWICE on the grown quiet day).
func TestTrySend_OutcomeOfTries(t *testing.T) {
	fail := func(outcome provider.Outcome, code provider.Code) error {
		return &provider.Error{Op: "worker.start", Outcome: outcome, Code: code}
	}
	silent := fail(provider.Unknown, provider.CodeTimeout)
	cases := []struct {
		name    string
		answers []error
		want    provider.Outcome
		calls   int
	}{
		{"done at once", []error{nil}, "", 1},
		{"refused at once", []error{fail(provider.Refused, provider.CodeNoRoom)}, provider.Refused, 1},
		{"silent, then done", []error{silent, nil}, "", 2},
		{"silent, then no connection", []error{silent, fail(provider.Refused, provider.CodeUnreachable)}, provider.Unknown, 2},
		{"silent, then no room", []error{silent, fail(provider.Refused, provider.CodeNoRoom)}, provider.Unknown, 2},
		{"silent, then another life", []error{silent, fail(provider.Refused, provider.CodeOtherLife)}, provider.Refused, 2},
		{"silent twice, then done", []error{silent, silent, nil}, "", 3},
		{"silent twice, then no room", []error{silent, silent, fail(provider.Refused, provider.CodeNoRoom)}, provider.Unknown, 3},
		{"silent", []error{silent, silent, silent}, provider.Unknown, len(lossyOrderTimeouts)},
	}
	for _, c := range cases {
		workers := &scriptedWorkers{answers: c.answers}
		journal := NewJournal(nil, 1, hclog.NewNullLogger(), nil)
		now := time.Now()
		journal.provenAt.Store(&now)
		o := &Leader{workers: workers, journal: journal, metrics: NewMetrics()}
		o.callPace.lossyUntil = now.Add(time.Minute)
		err := o.trySend(scheduler.StartRequest{})
		if c.want == "" {
			require.NoError(t, err, c.name)
		} else {
			require.Equal(t, c.want, provider.OutcomeOf(err), c.name)
		}
		require.Equal(t, c.calls, workers.calls, c.name)
	}
	journal := NewJournal(nil, 1, hclog.NewNullLogger(), nil)
	long := time.Now().Add(-2 * authority)
	journal.provenAt.Store(&long)
	workers := &scriptedWorkers{}
	o := &Leader{workers: workers, journal: journal, metrics: NewMetrics()}
	require.Equal(t, provider.Refused, provider.OutcomeOf(o.trySend(scheduler.StartRequest{})), "an owner without proof sends")
	require.Zero(t, workers.calls)
}
