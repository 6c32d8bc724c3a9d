package logstream

import (
	"context"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Shards is a fixed number of streams that partition work by its ID.
type Shards struct {
	streams      []*WatchedStream
	snapshotters []*Snapshotter
}

// NewShards returns the streams prefix-0 to prefix-(count-1), empty. The
// config's Name is not used.
func NewShards(prefix string, count int, cfg Config) *Shards {
	s := &Shards{}
	for i := range count {
		cfg.Name = prefix + "-" + strconv.Itoa(i)
		cfg.LoadSnapshot = NewSnapshotStore(cfg.Log, cfg.Name).Load
		s.streams = append(s.streams, NewWatchedStream(New(cfg, statemachine.New())))
	}
	return s
}

// EnableSnapshots makes Run write snapshots of each stream while the process is
// elected. It must be called before Run.
func (s *Shards) EnableSnapshots(policy SnapshotPolicy, elected func() bool) {
	for _, stream := range s.streams {
		snapshots := NewSnapshotStore(stream.cfg.Log, stream.cfg.Name)
		s.snapshotters = append(s.snapshotters, NewSnapshotter(stream.Stream, snapshots, policy, elected))
	}
}

// StreamFor returns the stream of the ID.
func (s *Shards) StreamFor(id string) *WatchedStream {
	return s.streams[xxhash.Sum64String(id)%uint64(len(s.streams))]
}

// Streams returns the streams.
func (s *Shards) Streams() []*WatchedStream {
	return s.streams
}

// Run follows and writes the streams until the context ends.
func (s *Shards) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, stream := range s.streams {
		wg.Go(func() { stream.Run(ctx) })
	}
	for _, snapshotter := range s.snapshotters {
		wg.Go(func() { snapshotter.Run(ctx) })
	}
	wg.Wait()
}
