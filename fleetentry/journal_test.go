package fleetentry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// limitedStore refuses appends that are too large, as the store does, and checks the sequence
// of the others.
type limitedStore struct {
	Store
	maxBytes int
	mu       sync.Mutex
	keys     []string
	largest  int
	sequence int64
}

func (s *limitedStore) Append(_ context.Context, _ string, records []fleet.Record, options fleet.AppendOptions) (first, end int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, r := range records {
		size += 5 + len(r.Key) + len(r.Value)
	}
	if size > s.maxBytes {
		return 0, 0, &provider.Error{Op: "store.append", Outcome: provider.Refused, Code: provider.CodeInvalid}
	}
	if options.Sequence != s.sequence+1 {
		return 0, 0, &provider.Error{Op: "store.append", Outcome: provider.Refused, Code: provider.CodeMismatch}
	}
	s.sequence = options.Sequence
	s.largest = max(s.largest, size)
	for _, r := range records {
		s.keys = append(s.keys, r.Key)
	}
	return 0, 0, nil
}

// journalUnderTest is a journal that appends to a limited store, and what it reports.
type journalUnderTest struct {
	*Journal
	store    *limitedStore
	mu       sync.Mutex
	stored   []int64
	keysThen map[int64]int
}

func newJournalUnderTest(t *testing.T, maxBytes int) *journalUnderTest {
	j := &journalUnderTest{store: &limitedStore{maxBytes: maxBytes}, keysThen: map[int64]int{}}
	j.Journal = NewJournal(j.store, 1, hclog.NewNullLogger(), NewMetrics(), func(numbers []int64) {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.stored = append(j.stored, numbers...)
		for _, n := range numbers {
			j.keysThen[n] = len(j.store.keys)
		}
	})
	_, err := j.Open(t.Context(), fleet.Record{Key: "o", Value: []byte("{}")})
	require.NoError(t, err)
	go j.Run(t.Context())
	return j
}

func (j *journalUnderTest) awaitStored(t *testing.T, want ...int64) {
	t.Helper()
	require.Eventually(t, func() bool {
		j.mu.Lock()
		defer j.mu.Unlock()
		return len(j.stored) == len(want)
	}, 5*time.Second, 5*time.Millisecond, "the batches are not stored")
	require.Equal(t, want, j.stored)
	require.False(t, j.Fenced())
}

func recordsOf(batch string, count, valueBytes int) []fleet.Record {
	out := make([]fleet.Record, count)
	for i := range out {
		out[i] = fleet.Record{Key: fmt.Sprintf("%s.%06d", batch, i), Value: []byte(strings.Repeat("x", valueBytes))}
	}
	return out
}

// TestJournal_BatchLargerThanAnAppend guards against a batch that the store refuses for its
// size, as that of a cancelled job with 72,000 tasks: no leader could stay in office.
func TestJournal_BatchLargerThanAnAppend(t *testing.T) {
	const storeBytes = 2 << 20
	j := newJournalUnderTest(t, storeBytes)
	large, small := recordsOf("t", 72_000, 25), recordsOf("u", 2, 25)
	j.Enqueue(1, large)
	j.Enqueue(2, small)
	j.awaitStored(t, 1, 2)
	require.Len(t, j.store.keys, 1+len(large)+len(small))
	for i, r := range append(large, small...) {
		require.Equal(t, r.Key, j.store.keys[i+1], "the order of the records")
	}
	require.GreaterOrEqual(t, j.keysThen[1], 1+len(large), "the batch is reported before its last part is stored")
	require.LessOrEqual(t, j.store.largest, maxJournalBytes)
}

// TestJournal_RecordThatIsRefused guards against one record that the store never takes: all
// other batches are stored, and the leader stays.
func TestJournal_RecordThatIsRefused(t *testing.T) {
	j := newJournalUnderTest(t, 1000)
	j.Enqueue(1, recordsOf("a", 3, 10))
	j.Enqueue(2, append(recordsOf("b", 1, 10), recordsOf("c", 1, 2000)...))
	j.Enqueue(3, recordsOf("d", 3, 300))
	j.Enqueue(4, recordsOf("e", 8, 300))
	j.awaitStored(t, 1, 3, 4)
	require.Equal(t, "1", j.metrics.counters.Get("ledger_records_refused").String())
}
