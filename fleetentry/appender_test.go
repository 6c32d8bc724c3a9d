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

// unresponsiveStore accepts appends and does not respond.
type unresponsiveStore struct{ Store }

func (unresponsiveStore) Append(ctx context.Context, _ string, _ []fleet.Record, _ fleet.AppendOptions) (int64, int64, error) {
	<-ctx.Done()
	return 0, 0, &provider.Error{Outcome: provider.Unknown, Code: provider.CodeTimeout}
}

// TestAppend_ReturnsByDeadline uses a store that does not respond, which left 110
// calls without an answer within their time (seen on benchmark day trouble-2 of
// deployment apitt-encomendas-grown): a sent call is unknown, an unsent one has not run.
func TestAppend_ReturnsByDeadline(t *testing.T) {
	store := unresponsiveStore{}
	a := NewAppender(store, NewFollower(store, hclog.NewNullLogger()), "entry")
	a.timeout.recordTimeout()
	a.timeout.recordTimeout()
	go a.Run(t.Context())
	const maxWait = 300 * time.Millisecond
	record := []fleet.Record{ledger.CancellationRecord("0000000000000001", 1)}
	outcome := func() provider.Outcome {
		start := time.Now()
		err := a.Append(t.Context(), record, start.Add(maxWait))
		require.Less(t, time.Since(start), 2*maxWait, "the call exceeded its deadline")
		return provider.OutcomeOf(err)
	}
	require.Equal(t, provider.Unknown, outcome())
	require.Equal(t, provider.Refused, outcome(), "an unsent call must be reported as not run")
}
