package fleetentry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// boundedStore takes what the platform's store takes in one call and in one record.
type boundedStore struct{ Store }

func (boundedStore) Append(_ context.Context, _ string, records []fleet.Record, _ fleet.AppendOptions) (int64, int64, error) {
	total := 0
	for _, r := range records {
		size := 1 + len(r.Key) + len(r.Value)
		total += size
		if size > 262_144 || total > 2_097_152 {
			return 0, 0, &provider.Error{Outcome: provider.Refused, Code: provider.CodeInvalid}
		}
	}
	return 0, int64(len(records)), nil
}

// TestAppend_LargeCallsDoNotFailOthers appends many calls of legal size at once, with one
// that no store takes between them. All others are stored.
func TestAppend_LargeCallsDoNotFailOthers(t *testing.T) {
	store := boundedStore{}
	a := NewAppender(store, NewFollower(store, hclog.NewNullLogger()), "entry")
	var group sync.WaitGroup
	errs := make([]error, 40)
	for n := range errs {
		size := 200_000
		if n == 7 {
			size = 300_000
		}
		group.Go(func() {
			record := fleet.Record{Key: fmt.Sprintf("?%016x", n), Value: make([]byte, size)}
			errs[n] = a.Append(t.Context(), []fleet.Record{record}, time.Now().Add(20*time.Second))
		})
	}
	require.Eventually(t, func() bool { return len(a.queue) >= len(errs)-1 }, 10*time.Second, time.Millisecond)
	go a.Run(t.Context())
	group.Wait()
	for n, err := range errs {
		if n == 7 {
			require.Equal(t, provider.Refused, provider.OutcomeOf(err))
			continue
		}
		require.NoError(t, err, "call %d", n)
	}
}
