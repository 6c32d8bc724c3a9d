package logstream

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Relayed is what one process passes on of a stream to another that cannot
// read the log.
type Relayed struct {
	Identity string
	// From is the offset of the first payload.
	From     uint64
	Payloads [][]byte
	// Snapshot is set in place of payloads that are no longer kept.
	Snapshot *statemachine.State
	// Next is the offset after the last payload or the snapshot.
	Next uint64
	// Age is the age of the state at Next, below 0 if it is not known.
	Age time.Duration
}

// Relay returns the payloads from the offset on, or the state if some of them
// are no longer kept. It reports false if there is nothing to pass on.
func (s *Stream) Relay(from uint64) (Relayed, bool) {
	// The age is taken before the state, which may only be younger.
	age := s.Age()
	state := s.State()
	if s.Fault() != nil || s.Identity() == "" {
		return Relayed{}, false
	}
	out := Relayed{Identity: s.Identity(), From: from, Next: state.NextOffset, Age: age}
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
func (s *Stream) ApplyRelayed(page Relayed, sent time.Time) error {
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
	if page.Age >= 0 && s.State().NextOffset >= page.Next {
		s.confirm(sent.Add(-page.Age))
	}
	return nil
}
