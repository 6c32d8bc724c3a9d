package logstream

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// RelayedPage is a part of a stream that one process sends to another that
// cannot read the log.
type RelayedPage struct {
	Identity string
	// From is the offset of the first payload.
	From     uint64
	Payloads [][]byte
	// Snapshot replaces payloads that are no longer retained.
	Snapshot *statemachine.State
	// NextOffset is the offset after the last payload or the snapshot.
	NextOffset uint64
	// Staleness is that of the state at NextOffset, below 0 if it is unknown.
	Staleness time.Duration
}

// Relay returns the payloads from the offset on, or the state if some of them
// are no longer retained. It reports false if there is nothing to relay.
func (s *Stream) Relay(from uint64) (RelayedPage, bool) {
	// Read the staleness before the state: the state can only be fresher.
	age := s.Staleness()
	state := s.State()
	if s.FatalError() != nil || s.Identity() == "" {
		return RelayedPage{}, false
	}
	out := RelayedPage{Identity: s.Identity(), From: from, NextOffset: state.NextOffset, Staleness: age}
	payloads, ok := s.recentPayloads.payloadsFrom(from, state.NextOffset)
	if !ok {
		out.Snapshot = state
	}
	out.Payloads = payloads
	return out, true
}

// ApplyRelayed applies a page that another process relayed in reply to a
// request sent at the given time by the local clock. The state is then known to
// have been current at that time less the page's staleness, because the reply
// was made later.
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
		s.recordCurrent(sent.Add(-page.Staleness))
	}
	return nil
}
