package logstream

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Install replaces the state by a later snapshot of the same stream. A snapshot
// at or before the applied offset is ignored; one of another stream is an
// error.
func (s *Stream) Install(snapshot Snapshot) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if identity := s.Identity(); identity != "" && identity != snapshot.Identity {
		return errors.Newf("the snapshot is of stream %s, not %s", snapshot.Identity, identity)
	}
	if snapshot.State.NextOffset <= s.State().NextOffset {
		return nil
	}
	s.identity.Store(&snapshot.Identity)
	s.state.Store(snapshot.State)
	for _, o := range s.installObservers {
		o(snapshot.State)
	}
	if position, ok := snapshot.State.Writers.Get(s.cfg.Writer); ok {
		s.unconfirmed.failUpTo(position.Seq, "the record's result is older than the snapshot that was installed")
	}
	return nil
}

// restoreSnapshot installs the latest snapshot, if LoadSnapshot is configured.
func (s *Stream) restoreSnapshot(ctx context.Context) error {
	if s.cfg.LoadSnapshot == nil {
		return ErrNoSnapshot
	}
	snapshot, err := s.cfg.LoadSnapshot(ctx)
	if err != nil {
		return err
	}
	return s.Install(snapshot)
}
