package logstream

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Observer is told of each applied payload, in order, on the goroutine that
// applies it. It must not block.
type Observer func(state *statemachine.State, results []statemachine.Result)

// Stream follows and writes one stream of the log.
type Stream struct {
	cfg   Config
	state atomic.Pointer[statemachine.State]
	fresh atomic.Pointer[freshness]
	queue chan *proposal

	mu        sync.Mutex
	waiting   map[uint64]*proposal
	observers []Observer
}

// New returns a stream at the given state. Run starts it.
func New(cfg Config, initial *statemachine.State) *Stream {
	s := &Stream{
		cfg:     cfg,
		queue:   make(chan *proposal, cfg.Limits.MaxQueued),
		waiting: make(map[uint64]*proposal),
	}
	s.state.Store(initial)
	return s
}

// State returns the latest state. It is immutable.
func (s *Stream) State() *statemachine.State {
	return s.state.Load()
}

// Observe registers an observer. It must be called before Run.
func (s *Stream) Observe(o Observer) {
	s.observers = append(s.observers, o)
}

// Run follows and writes the stream until the context ends.
func (s *Stream) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.follow(ctx) })
	wg.Go(func() { s.write(ctx) })
	wg.Wait()
}

// publish applies one payload and makes the new state visible.
func (s *Stream) publish(offset uint64, payload []byte) {
	current := s.state.Load()
	if offset < current.Next {
		return
	}
	batch, err := statemachine.DecodeBatch(payload)
	if err != nil {
		s.cfg.Logger.Error("payload skipped", "stream", s.cfg.Name, "offset", offset, "error", err.Error())
		s.state.Store(current.Skip(offset))
		return
	}
	next, results := current.Apply(offset, batch)
	s.state.Store(next)
	for _, o := range s.observers {
		o(next, results)
	}
	for _, result := range results {
		s.resolve(result)
	}
}

// resolve hands the result of an own record to its proposal. A duplicate is
// not the proposal's outcome: the first copy was.
func (s *Stream) resolve(result statemachine.Result) {
	if result.ID.Writer != s.cfg.Writer {
		return
	}
	s.mu.Lock()
	p := s.waiting[result.ID.Seq]
	delete(s.waiting, result.ID.Seq)
	s.mu.Unlock()
	if p != nil {
		p.finish(result, nil)
	}
}
