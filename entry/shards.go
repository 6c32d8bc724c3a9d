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
	shardsRetry          = 200 * time.Millisecond
	shardsProposeTimeout = 2 * time.Second
)

// shardSet is the streams of one kind of divided work. Their number comes
// from the control stream, so that every entry divides the work alike.
type shardSet struct {
	prefix  string
	count   int
	control *logstream.Stream
	config  logstream.Config
	policy  logstream.SnapshotPolicy
	// counters count the records of all streams.
	counters *workCounters
	// observe is told of each payload of every stream, if set.
	observe logstream.Observer
	shards  atomic.Pointer[logstream.Shards]
}

// get returns the streams, or nil while their number is not known.
func (s *shardSet) get() *logstream.Shards {
	return s.shards.Load()
}

// neverRead is the age of a stream that has never been read to its end.
const neverRead = time.Duration(math.MaxInt64)

// everRead reports whether the end of every stream has been read once.
func (s *shardSet) everRead() bool {
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

// run finds out the number of the streams and runs them.
func (s *shardSet) run(ctx context.Context) {
	for ctx.Err() == nil {
		if count, ok := s.control.State().StreamCounts.Get(s.prefix); ok {
			shards := logstream.NewShards(s.prefix, count, s.config)
			shards.EnableSnapshots(s.policy, func() bool { return isFirst(s.control.State(), s.config.Writer) })
			s.watch(shards)
			s.shards.Store(shards)
			shards.Run(ctx)
			return
		}
		s.propose(ctx)
		select {
		case <-ctx.Done():
		case <-s.config.Clock.After(shardsRetry):
		}
	}
}

// watch registers the observers of all streams.
func (s *shardSet) watch(shards *logstream.Shards) {
	for _, stream := range shards.Streams() {
		stream.Observe(s.counters.observe)
		if s.observe != nil {
			stream.Observe(s.observe)
		}
	}
}

// propose writes the number of the settings. An earlier record makes it void.
// It waits until the end of the control stream has been read.
func (s *shardSet) propose(ctx context.Context) {
	if s.control.Staleness() > currentFor {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shardsProposeTimeout)
	defer cancel()
	_, err := s.control.Propose(ctx, &statemachine.StreamCountSet{Prefix: s.prefix, Count: s.count})
	if err != nil {
		s.config.Logger.Debug("streams not fixed", "prefix", s.prefix, "error", err.Error())
	}
}
