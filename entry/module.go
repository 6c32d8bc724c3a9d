package entry

import (
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/peer"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

const (
	controlStream = "control"
	ringSize      = 16384
)

// New returns the daemon as an fx application.
func New(s settings.Entry) *fx.App {
	return fx.New(
		fx.Supply(s),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.StopTimeout.Duration()+stopGrace),
		platformModule,
		coreModule,
		logModule,
		profileModule,
		ordersModule,
		jobsModule,
		quarantineModule,
		sharesModule,
		limitsModule,
		maintenanceModule,
		fx.Invoke(register),
	)
}

// stopGrace is added to the stop timeout for the steps after the last request.
const stopGrace = 5 * time.Second

// platformModule provides the adapters to the platform.
var platformModule = fx.Module("platform",
	fx.Provide(
		clockwork.NewRealClock,
		newLogger,
		newIdentity,
		newTraffic,
		newControlClient,
		newWorkerClient,
		newPeerClient,
		newLog,
		newVMs,
		newWorkers,
	),
)

// coreModule provides the core components of the entry.
var coreModule = fx.Module("core",
	fx.Provide(
		newStream,
		quota.NewLedger,
		newPlacer,
		newRing,
		newRecordEvents,
		newInDoubtSet,
		newHeartbeatSource,
		newMembership,
		newControl,
		newDispatcher,
		newAllotter,
		newVMListPoller,
		newReadiness,
		newOperatorAPI,
		newClientGate,
		newMetrics,
		fx.Annotate(newCoreTasks, fx.ResultTags(`group:"tasks,flatten"`)),
		fx.Annotate(newHeartbeatHandler, fx.ResultTags(`group:"peers"`)),
	),
)

func newLogger(s settings.Entry, id identity) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Level:      hclog.LevelFromString(s.LogLevel),
		Output:     os.Stderr,
		JSONFormat: true,
	}).With("entry", id.incarnation)
}

func newLog(s settings.Entry, client controlClient) provider.Log {
	return provider.NewHTTPLog(s.Platform, client.Client)
}

func newVMs(s settings.Entry, client controlClient) provider.VMs {
	return provider.NewHTTPVMs(s.Platform, client.Client)
}

func newWorkers(client workerClient) provider.Workers {
	return provider.NewHTTPWorkers(client.Client)
}

func newStream(id identity, log provider.Log, snapshots *logstream.SnapshotStore, pacer *logstream.AppendLimiter, clock clockwork.Clock, logger hclog.Logger) *logstream.Stream {
	stream := logstream.New(logstream.Config{
		Name: controlStream, Writer: id.incarnation, Log: log, Clock: clock, Logger: logger, Limits: logstream.DefaultLimits(),
		LoadSnapshot: snapshots.Load, AppendLimiter: pacer, HasPriority: logstream.IsConfiguration,
	}, statemachine.New())
	share := func(state *statemachine.State) { pacer.SetMembers(state.Entries.Len()) }
	stream.Observe(func(state *statemachine.State, _ []statemachine.Result) { share(state) })
	stream.ObserveInstall(share)
	return stream
}

func newPlacer(id identity, workers provider.Workers, clock clockwork.Clock, stream *logstream.Stream) *placement.Placer {
	placer := placement.New(id.incarnation, workers, clock)
	stream.Observe(func(state *statemachine.State, results []statemachine.Result) {
		if changesVMs(results) {
			placer.SetFleet(state)
		}
	})
	stream.ObserveInstall(placer.SetFleet)
	return placer
}

// changesVMs reports whether an applied record concerns VMs.
func changesVMs(results []statemachine.Result) bool {
	for _, r := range results {
		if r.Rejection == nil && statemachine.ChangesVMs(r.Kind) {
			return true
		}
	}
	return false
}

func newRing() *timeline.Ring {
	return timeline.NewRing(ringSize)
}

func newInDoubtSet(workers provider.Workers, clock clockwork.Clock, gate *quota.Gate) *dispatch.InDoubtSet {
	return dispatch.NewInDoubtSet(workers, clock, gate.Release)
}

func newHeartbeatSource(s settings.Entry, stream *logstream.Stream, ledger *quota.Ledger, loads *localLoads) *heartbeatSource {
	return &heartbeatSource{stream: stream, ledger: ledger, localLoads: loads, zone: s.AvailabilityZone}
}

func newMembership(s settings.Entry, id identity, client *peer.Client, clock clockwork.Clock, stream *logstream.Stream, d *heartbeatSource) *membership.Membership {
	return membership.New(membership.Config{
		Self: id.incarnation, SelfAddress: s.Peers, Seeds: s.Seeds, Client: client, Clock: clock,
		State: stream.State, View: d.view, FillHeartbeat: d.fill,
	})
}

func newControl(id identity, stream *logstream.Stream, m *membership.Membership) *control {
	return &control{Stream: stream, membership: m, self: id.incarnation}
}

func newDispatcher(s settings.Entry, id identity, c *control, placer *placement.Placer, gate *quota.Gate,
	workers provider.Workers, inDoubt *dispatch.InDoubtSet, orders *dispatch.OrderResolver, clock clockwork.Clock, ring *timeline.Ring,
	ledger *quota.Ledger, preempter *jobPreempter,
) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{
		Incarnation: id.incarnation, Control: c, Slots: placer, Allotment: gate, Workers: workers,
		InDoubt: inDoubt, Orders: orders, Clock: clock, Ring: ring, DefaultTimeout: s.DefaultTimeout.Duration(),
		Running:   ledger.TotalRunning,
		Preempter: preempter,
	})
}

func newAllotter(id identity, stream *logstream.Stream, ledger *quota.Ledger, clock clockwork.Clock, logger hclog.Logger) *quota.Allotter {
	return quota.NewAllotter(id.incarnation, stream, ledger, clock, logger)
}

func newVMListPoller(id identity, vms provider.VMs, placer *placement.Placer, stream *logstream.Stream, clock clockwork.Clock, logger hclog.Logger) *vmListPoller {
	return &vmListPoller{self: id.incarnation, vms: vms, placer: placer, stream: stream, clock: clock, logger: logger}
}

// newCoreTasks lists the background work of the core.
func newCoreTasks(stream *logstream.Stream, m *membership.Membership, placer *placement.Placer,
	inDoubt *dispatch.InDoubtSet, allotter *quota.Allotter, poller *vmListPoller,
) []backgroundTask {
	return []backgroundTask{
		{name: "control stream", run: stream.Run},
		{name: "heartbeats", run: m.Run},
		{name: "slot leases", run: placer.Run},
		{name: "unsettled starts", run: inDoubt.Run},
		{name: "allotments", run: allotter.Run},
		{name: "VM list", run: poller.run},
	}
}

func newReadiness(c *control, id identity, orders orderShards, jobs jobShards) *readiness {
	return &readiness{control: c, self: id.incarnation, shardSets: []*shardSet{orders.shardSet, jobs.shardSet}}
}
