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
)

// pagedStore holds submissions in one stream of entries, of which one read returns a
// few.
type pagedStore struct {
	Store
	jobs int64
	page int64
	// index is of the stream that holds them.
	index int
	// before tells that the records are older than the first read.
	before bool
}

// Newest tells of the records that were there before the first read, if there were.
func (p *pagedStore) Newest(ctx context.Context, stream string) (fleet.Records, error) {
	if !p.before {
		return fleet.Records{}, nil
	}
	return p.Tail(ctx, stream, 0, 0)
}

func (p *pagedStore) Tail(_ context.Context, stream string, from int64, _ time.Duration) (fleet.Records, error) {
	out := fleet.Records{Next: from, End: from}
	if stream != jobStreams[p.index] {
		return out, nil
	}
	out.End = p.jobs
	for out.Next < min(p.jobs, from+p.page) {
		sub := fleet.Submission{ID: fmt.Sprintf("%016x", out.Next), Steps: []fleet.Step{{Count: 1}}}
		record := ledger.SubmissionRecord(sub)
		record.Offset = out.Next
		out.Items = append(out.Items, record)
		out.Next++
	}
	return out, nil
}

// TestFollower_LongWayBehind replays an entry that was cut off from the store: what
// it missed is more than one read returns. A job accepted before was said to be
// unknown (LOST on scale-2 of apitt-encomendas-grown).
func TestFollower_LongWayBehind(t *testing.T) {
	store := &pagedStore{jobs: 50, page: 8}
	known := func(f *Follower) int {
		n := 0
		f.Read(func(v *ledger.View) { n = len(v.Jobs) })
		return n
	}
	t.Run("a read of a part proves nothing", func(t *testing.T) {
		f := NewFollower(store, hclog.NewNullLogger())
		again, err := f.read(t.Context(), f.jobs[0], 0)
		require.NoError(t, err)
		require.False(t, again)
		first := f.jobs[0].readAt
		again, err = f.read(t.Context(), f.jobs[0], 0)
		require.NoError(t, err)
		require.True(t, again, "the rest is not read at once")
		require.Equal(t, first, f.jobs[0].readAt, "the state counts as new")
	})
	t.Run("a takeover reads all", func(t *testing.T) {
		f := NewFollower(store, hclog.NewNullLogger())
		require.NoError(t, f.CatchUp(t.Context()))
		require.NoError(t, f.CatchUp(t.Context()))
		require.EqualValues(t, store.jobs, known(f))
	})
	t.Run("a question waits for all", func(t *testing.T) {
		f := NewFollower(store, hclog.NewNullLogger())
		go f.Run(t.Context())
		require.Eventually(t, func() bool {
			_, read := f.Staleness(time.Now())
			return read
		}, time.Second, time.Millisecond)
		f.Refresh(t.Context(), false)
		require.EqualValues(t, store.jobs, known(f))
	})
}

// TestState_JobWrittenAside asks an entry that has not heard from the owner that
// others write aside: a busy owner tells late (LOST on trouble-1 --seed 245214263765
// of apitt-encomendas-grown).
func TestState_JobWrittenAside(t *testing.T) {
	store := &pagedStore{jobs: 3, page: 8, index: 3, before: true}
	f := NewFollower(store, hclog.NewNullLogger())
	for _, s := range f.used() {
		_, err := f.read(t.Context(), s, 0)
		require.NoError(t, err)
	}
	c := NewJobService(f, nil, nil, nil, nil, hclog.NewNullLogger())
	require.Equal(t, fleet.ReplyState, c.state(t.Context(), fmt.Sprintf("%016x", 2)).Kind)
	require.Equal(t, fleet.ReplyGone, c.state(t.Context(), fmt.Sprintf("%016x", 9)).Kind)
}
