package entry

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	shardsRetryInterval  = 200 * time.Millisecond
	shardsProposeTimeout = 2 * time.Second
)

// shardSet is the sharded streams of one kind of work. Their number comes from
// the control stream, so that every entry shards the work alike.
type shardSet struct {
	prefix       string
	initialCount int
	control      *logstream.Stream
	config       logstream.Config
	policy       logstream.SnapshotPolicy
	// counters count the records of all streams.
	counters *recordCounters
	// observe is called with each payload of every stream, if set.
	observe logstream.Observer
	shards  atomic.Pointer[logstream.Shards]
}

// get returns the streams, or nil while their number is not known.
func (s *shardSet) get() *logstream.Shards {
	return s.shards.Load()
}

// neverRead is the staleness of a stream never read to its end.
const neverRead = time.Duration(math.MaxInt64)

// hasReadAll reports whether every stream has been read to its end once.
func (s *shardSet) hasReadAll() bool {
	shards := s.get()
	if shards == nil {
		return false
	}
	for _, stream := range shards.Streams() {
		if stream.Staleness() == neverRead {
			return false
		}
	}
	return true
}

// run determines the number of the streams and runs them.
func (s *shardSet) run(ctx context.Context) {
	for ctx.Err() == nil {
		if count, ok := s.control.State().StreamCounts.Get(s.prefix); ok {
			shards := logstream.NewShards(s.prefix, count, s.config)
			shards.EnableSnapshots(s.policy, func() bool { return isFirstMember(s.control.State(), s.config.Writer) })
			s.registerObservers(shards)
			s.shards.Store(shards)
			shards.Run(ctx)
			return
		}
		s.propose(ctx)
		select {
		case <-ctx.Done():
		case <-s.config.Clock.After(shardsRetryInterval):
		}
	}
}

// registerObservers registers the observers of all streams.
func (s *shardSet) registerObservers(shards *logstream.Shards) {
	for _, stream := range shards.Streams() {
		stream.Observe(s.counters.observe)
		if s.observe != nil {
			stream.Observe(s.observe)
		}
	}
}

// propose writes the number from the settings; the record is rejected if there
// is an earlier one. It waits until the control stream has been read to its end.
func (s *shardSet) propose(ctx context.Context) {
	if s.control.Staleness() > maxControlStaleness {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shardsProposeTimeout)
	defer cancel()
	_, err := s.control.Propose(ctx, &statemachine.StreamCountSet{Prefix: s.prefix, Count: s.initialCount})
	if err != nil {
		s.config.Logger.Debug("failed to propose the stream count", "prefix", s.prefix, "error", err.Error())
	}
}
