package fleetentry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/scheduler"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	// drainShare is the part of the stop grace for which a stopping entry goes on
	// serving: the balancer takes two seconds to leave it out.
	drainShare = 0.45
	// closeShare is the part for the last answers.
	closeShare = 0.2
	// headerTimeout bounds the read of a call's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections that clients do not use.
	idleTimeout = 60 * time.Second
	// readyAge is the age of the state up to which the entry can serve.
	readyAge = 1500 * time.Millisecond
	// memoryShare is the part of the VM's memory that the collector keeps to.
	memoryShare = 0.6
)

// Daemon runs the parts of an entry.
type Daemon struct {
	settings settings.FleetEntry
	store    Store
	workers  Workers
	vms      VMs
	advice   Advice
	decoder  Decoder
	log      hclog.Logger
	metrics  *Metrics

	follower *Follower
	operator *OperatorWatcher
	appender *Appender
	callers  *JobService
	handler  http.Handler

	owner    atomic.Pointer[Leader]
	stopping atomic.Bool
	cancel   context.CancelFunc
	group    sync.WaitGroup
	servers  []*http.Server
	sink     *LogSink
}

// Start opens the entry's addresses and begins to serve.
func (d *Daemon) Start(context.Context) error {
	if d.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(d.settings.MemoryMB) * memoryShare * (1 << 20)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.listen(d.settings.Callers, d.handler); err != nil {
		return err
	}
	if err := d.listen(d.settings.Readiness, http.HandlerFunc(d.ready)); err != nil {
		return err
	}
	if d.settings.Metrics != "" {
		if err := d.listen(d.settings.Metrics, http.HandlerFunc(d.serveMetrics)); err != nil {
			// An entry without metrics serves as well.
			d.log.Warn("the metrics address cannot be opened", "address", d.settings.Metrics, "error", err)
		}
	}
	d.spawn(ctx, d.follower.Run)
	d.spawn(ctx, d.operator.Run)
	d.spawn(ctx, d.appender.Run)
	d.spawn(ctx, d.stand)
	d.log.Info("started", "node", d.settings.Node, "zone", d.settings.AvailabilityZone, "callers", d.settings.Callers)
	return nil
}

func (d *Daemon) spawn(ctx context.Context, do func(context.Context)) {
	d.group.Add(1)
	go func() {
		defer d.group.Done()
		do(ctx)
	}()
}

func (d *Daemon) listen(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(l); err != nil && !d.stopping.Load() {
			d.log.Error("a server stopped", "address", address, "error", err)
		}
	}()
	return nil
}

// ready tells the balancer whether the entry can serve.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	age, known := d.follower.LedgerStaleness(time.Now())
	if d.stopping.Load() || d.operator.Manifest() == nil || !known || age > readyAge {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that has left needs no answer.
	_ = json.NewEncoder(w).Encode(d.metrics.snapshot())
}

// stand claims the fleet whenever it has no owner.
func (d *Daemon) stand(ctx context.Context) {
	claimer := NewCandidate(d.store, d.follower, d.settings.Node, d.settings.ProcessorShare, d.log)
	for ctx.Err() == nil {
		sleep(ctx, claimCheck)
		if d.stopping.Load() || d.operator.Manifest() == nil {
			continue
		}
		token, ok := claimer.Campaign(ctx, time.Now())
		if !ok {
			continue
		}
		owner := d.newOwner(token)
		d.follower.Read(func(v *ledger.View) { owner.graceful = v.LeaderOffset < 0 || v.Leader.Resigned })
		d.owner.Store(owner)
		owner.Run(ctx)
		d.owner.Store(nil)
	}
}

func (d *Daemon) newOwner(token int64) *Leader {
	s := d.settings
	return &Leader{
		store: d.store, workers: d.workers, decoder: d.decoder, advice: d.advice,
		follower: d.follower, operator: d.operator, fleetVMs: NewVMController(d.vms),
		node: s.Node, token: token, log: d.log.Named("owner"), metrics: d.metrics,
		keepState:  settings.Seconds(s.KeepStateS),
		orderLease: time.Duration(s.VMOrderLeaseMS) * time.Millisecond,
		config: scheduler.Config{
			MaintenanceTime:    settings.Seconds(s.MaintenanceS),
			MoveTime:           settings.Seconds(s.MoveS),
			MaxStopTime:        time.Duration(s.StopMS) * time.Millisecond,
			CheckpointInterval: settings.Seconds(s.CheckpointS),
			RemoteDataFactor:   s.FarFactor,
		},
	}
}

// Stop hands the fleet over, serves on until the balancer has left the entry
// out, and closes.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	grace := settings.Seconds(d.settings.StopGraceS)
	d.stopping.Store(true)
	d.callers.StartShutdown()
	if owner := d.owner.Load(); owner != nil {
		releaseCtx, cancel := context.WithTimeout(ctx, ownerSilence)
		owner.Resign(releaseCtx)
		cancel()
		owner.cancel()
	}
	sleep(ctx, time.Duration(float64(grace)*drainShare))
	closeCtx, cancel := context.WithTimeout(ctx, time.Duration(float64(grace)*closeShare))
	defer cancel()
	for _, s := range d.servers {
		// Connections that are still at work at the end of the grace are cut.
		if err := s.Shutdown(closeCtx); err != nil {
			d.log.Warn("a server did not close in time", "error", err)
		}
	}
	d.cancel()
	d.log.Info("stopped")
	if d.sink != nil {
		d.sink.Close()
	}
	return nil
}
