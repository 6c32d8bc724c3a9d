package logstream

import (
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Watched is a Stream that tells when its state has changed.
type Watched struct {
	*Stream
	changed atomic.Pointer[chan struct{}]
}

// Watch returns the stream as a Watched one. It must be called before Run.
func Watch(s *Stream) *Watched {
	w := &Watched{Stream: s}
	changed := make(chan struct{})
	w.changed.Store(&changed)
	s.Observe(w.notify)
	s.ObserveInstall(func(state *statemachine.State) { w.notify(state, nil) })
	return w
}

func (w *Watched) notify(*statemachine.State, []statemachine.Result) {
	next := make(chan struct{})
	close(*w.changed.Swap(&next))
}

// Changed returns a channel that is closed at the next change. A reader takes
// the channel first and the state after it, so that it misses no change.
func (w *Watched) Changed() <-chan struct{} {
	return *w.changed.Load()
}
