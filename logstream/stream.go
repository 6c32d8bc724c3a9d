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

// InstallObserver is told of a state that was installed in place of applying
// its records. It must not block.
type InstallObserver func(state *statemachine.State)

// Stream follows and writes one stream of the log.
type Stream struct {
	cfg      Config
	state    atomic.Pointer[statemachine.State]
	fresh    atomic.Pointer[freshness]
	fault    atomic.Pointer[streamFault]
	identity atomic.Pointer[string]
	readable atomic.Bool
	attempts atomic.Uint64
	reads    atomic.Uint64
	queue    chan *proposal
	ended    chan struct{}
	waiting  waiting
	recent   recent

	// applying orders the processes that apply: the follower and relayed pages.
	applying  sync.Mutex
	observers []Observer
	installed []InstallObserver
}

// New returns a stream at the given state. Run starts it.
func New(cfg Config, initial *statemachine.State) *Stream {
	s := &Stream{
		cfg:     cfg,
		queue:   make(chan *proposal, cfg.Limits.MaxQueued),
		ended:   make(chan struct{}),
		waiting: waiting{bySeq: make(map[uint64]*proposal)},
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

// ObserveInstall registers an observer of installed states. It must be called
// before Run.
func (s *Stream) ObserveInstall(o InstallObserver) {
	s.installed = append(s.installed, o)
}

// Run follows and writes the stream until the context ends. It may run once.
func (s *Stream) Run(ctx context.Context) {
	defer close(s.ended)
	var wg sync.WaitGroup
	wg.Go(func() { s.follow(ctx) })
	wg.Go(func() { s.write(ctx) })
	wg.Wait()
}

// publish applies one payload and makes the new state visible. The caller
// holds the mutex.
func (s *Stream) publish(offset uint64, payload []byte) {
	current := s.state.Load()
	if offset < current.NextOffset {
		return
	}
	s.recent.add(offset, payload)
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
	if batch.Writer != s.cfg.Writer {
		return
	}
	for _, result := range results {
		s.waiting.resolve(result)
	}
}
