package entry

import (
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/lease"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/maintenance"
	"github.com/anvilcourse/anvilcourse/maintenance/executor"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

// maintenanceTTL is the time after the last renewal at which another entry may
// acquire the maintenance lease.
const maintenanceTTL = 3 * time.Second

// maintenanceModule plans and executes waves while this entry holds the
// maintenance lease.
var maintenanceModule = fx.Module("maintenance",
	fx.Provide(
		newMaintenanceKeeper,
		newDemandMonitor,
		newExecutor,
		fx.Annotate(newMaintenanceTasks, fx.ResultTags(`group:"tasks,flatten"`)),
		fx.Annotate(newMaintenanceStop, fx.ResultTags(`group:"stop_steps"`)),
		fx.Annotate(newWaveRoutes, fx.ResultTags(`group:"operator_routes"`)),
	),
)

func newMaintenanceKeeper(id identity, stream *logstream.Stream, clock clockwork.Clock) *lease.Keeper {
	return lease.NewKeeper(lease.Config{
		Name: statemachine.MaintenanceLease, Self: id.incarnation, TTL: maintenanceTTL,
		Log: stream, Stopwatch: lease.NewStopwatch(clock), Clock: clock,
		Needed: func() bool { return executor.HasWork(stream.State()) },
	})
}

func newExecutor(id identity, keeper *lease.Keeper, stream *logstream.Stream, workers provider.Workers, client workerClient,
	poller *vmListPoller, demand *demandMonitor, jobs jobShards, clock clockwork.Clock, logger hclog.Logger, ring *timeline.Ring,
) *executor.Executor {
	return executor.New(executor.Config{
		Lease: keeper, Log: stream, Workers: workers, Pools: provider.NewHTTPVMLifecycle(client.Client),
		Clock: clock, Logger: logger, Params: maintenance.DefaultParams(placement.LeaseTTL), Self: id.incarnation,
		ListedAt:       poller.listedAt,
		RequiredVMs:    demand.requiredVMs,
		Checkpointable: jobs.isCheckpointable,
		Report: func(a maintenance.Action) {
			ring.Add(actionEvent(id.incarnation, stream.State().NextOffset, clock.Now(), a))
		},
	})
}

// actionEvent returns the timeline event of the action.
func actionEvent(self string, offset uint64, at time.Time, a maintenance.Action) timeline.Event {
	event := timeline.Event{
		AtUS: at.UnixMicro(), Entry: self, Kind: "maintenance_" + string(a.Kind), Offset: offset,
		Wave: a.Wave, Request: a.Task, Detail: a.Cause,
	}
	if a.VM != nil {
		event.VM = a.VM.ID
	}
	if a.MoveTo != "" {
		event.Detail = strings.TrimSpace("to pool " + a.MoveTo + " " + a.Cause)
	}
	return event
}

func newMaintenanceTasks(keeper *lease.Keeper, exec *executor.Executor, demand *demandMonitor) []backgroundTask {
	return []backgroundTask{
		{name: "maintenance lease", run: keeper.Run},
		{name: "maintenance", run: exec.Run},
		{name: "demand", run: demand.run},
	}
}

func newMaintenanceStop(keeper *lease.Keeper) stopStep {
	return stopStep{name: "release the maintenance lease", run: keeper.Release}
}
