package logstream

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/periodic"
)

const (
	snapshotCheckInterval = time.Second
	snapshotTimeout       = 10 * time.Second
)

// SnapshotPolicy says when a snapshot is due.
type SnapshotPolicy struct {
	// MaxRecords is the number of payloads after which one is due.
	MaxRecords uint64
	// MaxAge is the age of the latest one after which one is due. It is a
	// fraction of the log's retention time.
	MaxAge time.Duration
}

// Snapshotter writes snapshots of a stream while its process is elected. Two at
// once cost extra appends and are otherwise harmless.
type Snapshotter struct {
	stream     *Stream
	snapshots  *SnapshotStore
	policy     SnapshotPolicy
	elected    func() bool
	lastOffset uint64
	lastAt     time.Time
}

// NewSnapshotter returns a Snapshotter. The function elected reports whether
// this process writes them.
func NewSnapshotter(stream *Stream, snapshots *SnapshotStore, policy SnapshotPolicy, elected func() bool) *Snapshotter {
	return &Snapshotter{stream: stream, snapshots: snapshots, policy: policy, elected: elected}
}

// Run writes snapshots when they are due until the context ends.
func (s *Snapshotter) Run(ctx context.Context) {
	periodic.Run(ctx, s.stream.cfg.Clock, snapshotCheckInterval, s.saveIfDue)
}

// saveIfDue writes a snapshot if one is due.
func (s *Snapshotter) saveIfDue(ctx context.Context) {
	if !s.elected() {
		s.lastAt = time.Time{}
		return
	}
	now := s.stream.cfg.Clock.Now()
	state, identity := s.stream.State(), s.stream.Identity()
	if state.NextOffset == 0 || identity == "" || s.stream.FatalError() != nil || !s.isDue(now, state.NextOffset) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := s.snapshots.Save(ctx, Snapshot{Identity: identity, State: state}); err != nil {
		s.stream.cfg.Logger.Warn("snapshot not written", "stream", s.stream.cfg.Name, "error", err.Error())
		return
	}
	s.lastOffset, s.lastAt = state.NextOffset, now
}

// isDue reports whether the latest snapshot is too old or lags too many
// records.
func (s *Snapshotter) isDue(now time.Time, next uint64) bool {
	if s.lastAt.IsZero() || next-s.lastOffset >= s.policy.MaxRecords {
		return true
	}
	return elapsed.Max(now, s.lastAt) >= s.policy.MaxAge
}
