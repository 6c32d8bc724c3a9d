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
	expulsionPoll = 100 * time.Millisecond
	// expelledCode is the exit code of an entry that was removed.
	expelledCode = 1
)

// expulsion stops the entry once it was removed from the membership, so that
// its supervisor starts a new incarnation. What runs is finished first.
type expulsion struct {
	id       identity
	stream   *logstream.Stream
	own      *describer
	clock    clockwork.Clock
	logger   hclog.Logger
	shutdown fx.Shutdowner
}

func newExpulsion(id identity, stream *logstream.Stream, own *describer, clock clockwork.Clock, logger hclog.Logger, shutdown fx.Shutdowner) *expulsion {
	return &expulsion{id: id, stream: stream, own: own, clock: clock, logger: logger, shutdown: shutdown}
}

func (e *expulsion) run(ctx context.Context) {
	ticker := e.clock.NewTicker(expulsionPoll)
	defer ticker.Stop()
	joined := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		_, member := e.stream.State().Member(e.id.incarnation)
		if e.own.leaving.Load() {
			return
		}
		if joined && !member {
			e.stop()
			return
		}
		joined = joined || member
	}
}

func (e *expulsion) stop() {
	e.logger.Error("this entry was removed from the membership and stops; its supervisor must start it anew")
	if err := e.shutdown.Shutdown(fx.ExitCode(expelledCode)); err != nil {
		e.logger.Error("the shutdown was not signalled", "error", err.Error())
	}
}
