package fleetentry

import (
	"context"
	"net/http"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/anvilcourse/anvilcourse/ingress"
	"github.com/anvilcourse/anvilcourse/lateness"
	"github.com/anvilcourse/anvilcourse/platform"
	"github.com/anvilcourse/anvilcourse/settings"
)

// New returns the daemon as an fx application.
func New(s settings.FleetEntry) *fx.App {
	return fx.New(
		fx.Supply(s),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(2*settings.Seconds(s.StopGraceS)),
		fx.Provide(
			newSink,
			newLogger,
			NewMetrics,
			func(s settings.FleetEntry) Store { return platform.NewStore(s.Store) },
			func() *lateness.Monitor { return lateness.NewMonitor(clockwork.NewRealClock()) },
			func(m *lateness.Monitor, metrics *Metrics) Workers { return newWorkers(m, metrics) },
			func(s settings.FleetEntry) VMs { return platform.NewVMs(s.VMs, s.Node) },
			func(s settings.FleetEntry) Advice { return platform.NewAdvice(s.Advice) },
			func() Decoder { return platform.Decoder{} },
			NewFollower,
			NewOperatorWatcher,
			func(s settings.FleetEntry, store Store, f *Follower) *Appender { return NewAppender(store, f, s.Node) },
			NewJobService,
			newClientGate,
			func(c *JobService, gate *ingress.Gate, o *OperatorWatcher) http.Handler {
				return platform.NewClientHandler(c, gate, o.maxBodyBytes)
			},
			newDaemon,
		),
		fx.Invoke(func(lc fx.Lifecycle, d *Daemon, sink *LogSink) {
			d.sink = sink
			lc.Append(fx.Hook{OnStart: d.Start, OnStop: func(ctx context.Context) error { return d.Stop(ctx) }})
		}),
	)
}

func newSink() *LogSink { return NewLogSink(os.Stdout) }

func newLogger(s settings.FleetEntry, sink *LogSink) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: s.Node, Level: hclog.Info, Output: sink, JSONFormat: true})
}

// newWorkers returns a client of workers that counts the polls by which it verifies
// connections.
func newWorkers(m *lateness.Monitor, metrics *Metrics, options ...platform.WorkersOption) Workers {
	return platform.NewWorkers(append(options, platform.WithAllowance(m.Allowance),
		platform.WithVerificationCounter(func() { metrics.Add("looks_on_connect", 1) }),
		platform.WithSharedConnectionCounter(func() { metrics.Add("connections_shared", 1) }))...)
}

func newDaemon(s settings.FleetEntry, store Store, w Workers, v VMs, a Advice, dec Decoder, log hclog.Logger,
	m *Metrics, f *Follower, o *OperatorWatcher, app *Appender, c *JobService, h http.Handler, gate *ingress.Gate, late *lateness.Monitor) *Daemon {
	return &Daemon{
		settings: s, store: store, workers: w, vms: v, advice: a, decoder: dec, log: log, metrics: m,
		follower: f, operator: o, appender: app, jobService: c, handler: h, gate: gate, lateness: late,
	}
}
