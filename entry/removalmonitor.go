package entry

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/logstream"
)

const (
	removalPollInterval = 100 * time.Millisecond
	// removedExitCode is the exit code of an entry that was removed.
	removedExitCode = 1
)

// removalMonitor stops the entry once it was removed from the membership, so that
// its supervisor starts a new incarnation. Running work finishes first.
type removalMonitor struct {
	id         identity
	stream     *logstream.Stream
	heartbeats *heartbeatSource
	clock      clockwork.Clock
	logger     hclog.Logger
	shutdown   fx.Shutdowner
}

func newRemovalMonitor(id identity, stream *logstream.Stream, heartbeats *heartbeatSource, clock clockwork.Clock, logger hclog.Logger, shutdown fx.Shutdowner) *removalMonitor {
	return &removalMonitor{id: id, stream: stream, heartbeats: heartbeats, clock: clock, logger: logger, shutdown: shutdown}
}

func (m *removalMonitor) run(ctx context.Context) {
	ticker := m.clock.NewTicker(removalPollInterval)
	defer ticker.Stop()
	joined := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		_, member := m.stream.State().Member(m.id.incarnation)
		if m.heartbeats.leaving.Load() {
			return
		}
		if joined && !member {
			m.stop()
			return
		}
		joined = joined || member
	}
}

func (m *removalMonitor) stop() {
	m.logger.Error("this entry was removed from the membership and stops; its supervisor must restart it")
	if err := m.shutdown.Shutdown(fx.ExitCode(removedExitCode)); err != nil {
		m.logger.Error("failed to signal the shutdown", "error", err.Error())
	}
}
