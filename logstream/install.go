package logstream

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Install replaces the state by a later one of the same stream. A snapshot at
// or before the applied offset changes nothing. One of another stream is
// refused.
func (s *Stream) Install(snapshot Snapshot) error {
	s.applying.Lock()
	defer s.applying.Unlock()
	if identity := s.Identity(); identity != "" && identity != snapshot.Identity {
		return errors.Newf("the snapshot is of stream %s, not %s", snapshot.Identity, identity)
	}
	if snapshot.State.NextOffset <= s.State().NextOffset {
		return nil
	}
	s.identity.Store(&snapshot.Identity)
	s.state.Store(snapshot.State)
	for _, o := range s.installed {
		o(snapshot.State)
	}
	if mark, ok := snapshot.State.Writers.Get(s.cfg.Writer); ok {
		s.waiting.giveUp(mark.Seq, "the record's result is older than the snapshot that was installed")
	}
	return nil
}

// restore installs the latest snapshot of the log, if there is a source.
func (s *Stream) restore(ctx context.Context) error {
	if s.cfg.LoadSnapshot == nil {
		return ErrNoSnapshot
	}
	snapshot, err := s.cfg.LoadSnapshot(ctx)
	if err != nil {
		return err
	}
	return s.Install(snapshot)
}
