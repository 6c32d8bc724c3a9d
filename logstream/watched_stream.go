package logstream

import (
	"sync/atomic"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// WatchedStream is a Stream that signals changes of its state.
type WatchedStream struct {
	*Stream
	changed atomic.Pointer[chan struct{}]
}

// NewWatchedStream returns the stream as a WatchedStream. It must be called
// before Run.
func NewWatchedStream(s *Stream) *WatchedStream {
	w := &WatchedStream{Stream: s}
	changed := make(chan struct{})
	w.changed.Store(&changed)
	s.Observe(w.notify)
	s.ObserveInstall(func(state *statemachine.State) { w.notify(state, nil) })
	return w
}

func (w *WatchedStream) notify(*statemachine.State, []statemachine.Result) {
	next := make(chan struct{})
	close(*w.changed.Swap(&next))
}

// Changed returns a channel that is closed at the next change. Read it before
// the state, so that no change is missed.
func (w *WatchedStream) Changed() <-chan struct{} {
	return *w.changed.Load()
}
