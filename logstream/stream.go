package logstream

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Observer is called for each applied payload, in order, on the goroutine that
// applies it. It must not block.
type Observer func(state *statemachine.State, results []statemachine.Result)

// InstallObserver is called for a state that was installed from a snapshot. It
// must not block.
type InstallObserver func(state *statemachine.State)

// Stream follows and writes one stream of the log.
type Stream struct {
	cfg            Config
	state          atomic.Pointer[statemachine.State]
	lastProof      atomic.Pointer[currencyProof]
	fatal          atomic.Pointer[streamFatalError]
	identity       atomic.Pointer[string]
	readable       atomic.Bool
	attempts       atomic.Uint64
	reads          atomic.Uint64
	queue          chan *proposal
	stopped        chan struct{}
	unconfirmed    unconfirmedRecords
	recentPayloads payloadCache

	// applyMu serializes the goroutines that apply payloads: the follower and
	// relayed pages.
	applyMu          sync.Mutex
	observers        []Observer
	installObservers []InstallObserver
}

// New returns a stream at the given state. Run starts it.
func New(cfg Config, initial *statemachine.State) *Stream {
	s := &Stream{
		cfg:         cfg,
		queue:       make(chan *proposal, cfg.Limits.MaxQueued),
		stopped:     make(chan struct{}),
		unconfirmed: unconfirmedRecords{bySeq: make(map[uint64]*proposal)},
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
	s.installObservers = append(s.installObservers, o)
}

// Run follows and writes the stream until the context ends. It may run once.
func (s *Stream) Run(ctx context.Context) {
	defer close(s.stopped)
	var wg sync.WaitGroup
	wg.Go(func() { s.follow(ctx) })
	wg.Go(func() { s.write(ctx) })
	wg.Wait()
}

// applyPayload applies one payload and makes the new state visible. The caller
// holds the mutex.
func (s *Stream) applyPayload(offset uint64, payload []byte) {
	current := s.state.Load()
	if offset < current.NextOffset {
		return
	}
	s.recentPayloads.add(offset, payload)
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
		s.unconfirmed.resolve(result)
	}
}
