package fleetentry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

// silentStore takes appends and does not answer.
type silentStore struct{ Store }

func (silentStore) Append(ctx context.Context, _ string, _ []fleet.Record, _ fleet.AppendOptions) (int64, int64, error) {
	<-ctx.Done()
	return 0, 0, &provider.Error{Outcome: provider.Unknown, Code: provider.CodeTimeout}
}

// TestAppend_AnswersWhileItsCallerWaits replays a store that does not answer
// (trouble-2 of apitt-encomendas-grown, where 110 calls got no answer within their
// time): what was sent is unknown, what was not sent has not run.
func TestAppend_AnswersWhileItsCallerWaits(t *testing.T) {
	store := silentStore{}
	a := NewAppender(store, NewFollower(store, hclog.NewNullLogger()), "entry")
	a.patience.silent()
	a.patience.silent()
	go a.Run(t.Context())
	const within = 300 * time.Millisecond
	record := []fleet.Record{ledger.CancellationRecord("0000000000000001", 1)}
	outcome := func() provider.Outcome {
		began := time.Now()
		err := a.Append(t.Context(), record, began.Add(within))
		require.Less(t, time.Since(began), 2*within, "the call is held beyond its time")
		return provider.OutcomeOf(err)
	}
	require.Equal(t, provider.Unknown, outcome())
	require.Equal(t, provider.Refused, outcome(), "a call that has not been sent is not known to have not run")
}
