package entry

import (
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	// snapshotRecords is the number of control payloads between snapshots.
	snapshotRecords = 4096
	// snapshotsPerRetention is the number of snapshots that the log retains at
	// any time.
	snapshotsPerRetention = 5
)

// logModule provides what keeps the control stream readable: snapshots and pages
// relayed between entries.
var logModule = fx.Module("log",
	fx.Provide(
		newPacer,
		newSnapshots,
		newSnapshotter,
		newShardSetFactory,
		newRelay,
		fx.Annotate(newLogTasks, fx.ResultTags(`group:"tasks,flatten"`)),
		fx.Annotate(newRelayHandler, fx.ResultTags(`group:"peers"`)),
	),
)

func newPacer(s settings.Entry, clock clockwork.Clock) *logstream.AppendLimiter {
	return logstream.NewAppendLimiter(clock, s.LogAppendsPerSecond)
}

func newSnapshots(log provider.Log) *logstream.SnapshotStore {
	return logstream.NewSnapshotStore(log, controlStream)
}

func newSnapshotter(s settings.Entry, id identity, stream *logstream.Stream, snapshots *logstream.SnapshotStore) *logstream.Snapshotter {
	return logstream.NewSnapshotter(stream, snapshots, snapshotPolicy(s), func() bool { return isFirstMember(stream.State(), id.incarnation) })
}

func snapshotPolicy(s settings.Entry) logstream.SnapshotPolicy {
	return logstream.SnapshotPolicy{MaxRecords: snapshotRecords, MaxAge: s.LogRetention.Duration() / snapshotsPerRetention}
}

// shardSetFactory creates the sharded streams of one kind of work, from their name
// prefix and the count to propose if none is recorded yet.
type shardSetFactory func(prefix string, count int) *shardSet

func newShardSetFactory(
	s settings.Entry, id identity, control *logstream.Stream, log provider.Log, pacer *logstream.AppendLimiter, clock clockwork.Clock, logger hclog.Logger,
) shardSetFactory {
	config := logstream.Config{
		Writer: id.incarnation, Log: log, Clock: clock, Logger: logger, Limits: logstream.DefaultLimits(), AppendLimiter: pacer,
	}
	return func(prefix string, count int) *shardSet {
		return &shardSet{prefix: prefix, initialCount: count, control: control, config: config, policy: snapshotPolicy(s), counters: newRecordCounters()}
	}
}

func newLogTasks(snapshotter *logstream.Snapshotter, r *relay) []backgroundTask {
	return []backgroundTask{
		{name: "snapshots", run: snapshotter.Run},
		{name: "relayed pages", run: r.run},
	}
}
