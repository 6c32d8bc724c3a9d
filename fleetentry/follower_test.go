package fleetentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/settings"
)

// pagedStore holds submissions in one stream of entries, of which one read returns a
// few.
type pagedStore struct {
	Store
	total    int64
	pageSize int64
	// index is that of the stream with the records.
	index int
	// preexisting records are older than the first read.
	preexisting bool
}

// Newest returns the records if they are older than the first read.
func (p *pagedStore) Newest(ctx context.Context, stream string) (fleet.Records, error) {
	if !p.preexisting {
		return fleet.Records{}, nil
	}
	return p.Tail(ctx, stream, 0, 0)
}

func (p *pagedStore) Tail(_ context.Context, stream string, from int64, _ time.Duration) (fleet.Records, error) {
	out := fleet.Records{Next: from, End: from}
	if stream != jobStreams[p.index] {
		return out, nil
	}
	out.End = p.total
	for out.Next < min(p.total, from+p.pageSize) {
		sub := fleet.Submission{ID: fmt.Sprintf("%016x", out.Next), Steps: []fleet.Step{{Count: 1}}}
		record := ledger.SubmissionRecord(sub)
		record.Offset = out.Next
		out.Items = append(out.Items, record)
		out.Next++
	}
	return out, nil
}

// TestFollower_LaggingByManyReads covers an entry that was cut off from the store: it
// missed more than one read returns, and reported a job accepted before as unknown
// (seen on benchmark day scale-2 of deployment apitt-encomendas-grown).
func TestFollower_LaggingByManyReads(t *testing.T) {
	store := &pagedStore{total: 50, pageSize: 8}
	known := func(f *Follower) int {
		n := 0
		f.Read(func(v *ledger.View) { n = len(v.Jobs) })
		return n
	}
	t.Run("a partial read does not refresh the state", func(t *testing.T) {
		f := NewFollower(store, hclog.NewNullLogger())
		more, err := f.read(t.Context(), f.jobs[0], 0)
		require.NoError(t, err)
		require.False(t, more)
		first := f.jobs[0].lastReadAt
		more, err = f.read(t.Context(), f.jobs[0], 0)
		require.NoError(t, err)
		require.True(t, more, "the rest must be read at once")
		require.Equal(t, first, f.jobs[0].lastReadAt, "the state must not count as fresh")
	})
	t.Run("a takeover reads everything", func(t *testing.T) {
		f := NewFollower(store, hclog.NewNullLogger())
		require.NoError(t, f.CatchUp(t.Context()))
		require.NoError(t, f.CatchUp(t.Context()))
		require.EqualValues(t, store.total, known(f))
	})
	t.Run("a refresh waits for everything", func(t *testing.T) {
		f := NewFollower(store, hclog.NewNullLogger())
		go f.Run(t.Context())
		require.Eventually(t, func() bool {
			_, read := f.Staleness(time.Now())
			return read
		}, time.Second, time.Millisecond)
		f.Refresh(t.Context(), false)
		require.EqualValues(t, store.total, known(f))
	})
}

// TestState_JobInAlternateStream queries an entry that does not know yet that others
// use alternate streams, since a busy leader sends heartbeats late: an accepted job
// was reported as unknown (seen on benchmark day trouble-1 of deployment
// apitt-encomendas-grown, --seed 245214263765).
func TestState_JobInAlternateStream(t *testing.T) {
	store := &pagedStore{total: 3, pageSize: 8, index: 3, preexisting: true}
	f := NewFollower(store, hclog.NewNullLogger())
	for _, s := range f.activeStreams() {
		_, err := f.read(t.Context(), s, 0)
		require.NoError(t, err)
	}
	service := NewJobService(settings.DefaultFleetEntry(), f, nil, nil, nil, nil, hclog.NewNullLogger())
	require.Equal(t, fleet.ReplyState, service.state(t.Context(), fmt.Sprintf("%016x", 2)).Kind)
	require.Equal(t, fleet.ReplyGone, service.state(t.Context(), fmt.Sprintf("%016x", 9)).Kind)
}
