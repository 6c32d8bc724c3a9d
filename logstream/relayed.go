package logstream

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// RelayedPage is what one process passes on of a stream to another that cannot
// read the log.
type RelayedPage struct {
	Identity string
	// From is the offset of the first payload.
	From     uint64
	Payloads [][]byte
	// Snapshot is set in place of payloads that are no longer kept.
	Snapshot *statemachine.State
	// NextOffset is the offset after the last payload or the snapshot.
	NextOffset uint64
	// Staleness is the age of the state at Next, below 0 if it is not known.
	Staleness time.Duration
}

// Relay returns the payloads from the offset on, or the state if some of them
// are no longer kept. It reports false if there is nothing to pass on.
func (s *Stream) Relay(from uint64) (RelayedPage, bool) {
	// The age is taken before the state, which may only be younger.
	age := s.Staleness()
	state := s.State()
	if s.FatalError() != nil || s.Identity() == "" {
		return RelayedPage{}, false
	}
	out := RelayedPage{Identity: s.Identity(), From: from, NextOffset: state.NextOffset, Staleness: age}
	payloads, ok := s.recent.from(from, state.NextOffset)
	if !ok {
		out.Snapshot = state
	}
	out.Payloads = payloads
	return out, true
}

// ApplyRelayed applies what another process passed on in answer to a request
// that was sent at the given time by the own clock. The state is then known to
// have been current at that time less the age that the other told: its answer
// was given later.
func (s *Stream) ApplyRelayed(page RelayedPage, sent time.Time) error {
	if identity := s.Identity(); identity != "" && identity != page.Identity {
		return errors.Newf("stream %s: the peer's identity is %s, not %s", s.cfg.Name, page.Identity, identity)
	}
	if page.Snapshot != nil {
		if err := s.Install(Snapshot{Identity: page.Identity, State: page.Snapshot}); err != nil {
			return err
		}
	}
	s.identity.CompareAndSwap(nil, &page.Identity)
	s.applyAll(page.From, page.Payloads)
	if page.Staleness >= 0 && s.State().NextOffset >= page.NextOffset {
		s.confirm(sent.Add(-page.Staleness))
	}
	return nil
}
