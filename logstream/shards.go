package logstream

import (
	"context"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Shards is a fixed number of streams that divide work by its ID.
type Shards struct {
	streams []*Watched
}

// NewShards returns the streams prefix-0 to prefix-(count-1), empty. The
// config's Name is not used.
func NewShards(prefix string, count int, cfg Config) *Shards {
	s := &Shards{}
	for i := range count {
		cfg.Name = prefix + "-" + strconv.Itoa(i)
		s.streams = append(s.streams, Watch(New(cfg, statemachine.New())))
	}
	return s
}

// For returns the stream of the ID.
func (s *Shards) For(id string) *Watched {
	return s.streams[xxhash.Sum64String(id)%uint64(len(s.streams))]
}

// All returns the streams.
func (s *Shards) All() []*Watched {
	return s.streams
}

// Run follows and writes the streams until the context ends.
func (s *Shards) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, stream := range s.streams {
		wg.Go(func() { stream.Run(ctx) })
	}
	wg.Wait()
}
