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

	"github.com/anvilcourse/anvilcourse/ingress"
	"github.com/anvilcourse/anvilcourse/lateness"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/scheduler"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	// drainFraction is the part of the stop grace period for which a stopping entry
	// keeps serving: the balancer takes two seconds to remove it.
	drainFraction = 0.45
	// closeFraction is the part for the last responses.
	closeFraction = 0.2
	// maxReadyStaleness is the staleness up to which the entry is ready.
	maxReadyStaleness = 1500 * time.Millisecond
	// memoryLimitFraction is the garbage collector's limit as a part of the VM's
	// memory.
	memoryLimitFraction = 0.6
)

// Daemon runs the components of an entry.
type Daemon struct {
	settings settings.FleetEntry
	store    Store
	workers  Workers
	vms      VMs
	advice   Advice
	decoder  Decoder
	log      hclog.Logger
	metrics  *Metrics

	follower   *Follower
	operator   *OperatorWatcher
	appender   *Appender
	jobService *JobService
	handler    http.Handler
	gate       *ingress.Gate

	leader   atomic.Pointer[Leader]
	stopping atomic.Bool
	cancel   context.CancelFunc
	group    sync.WaitGroup
	servers  []*http.Server
	sink     *LogSink
	lateness *lateness.Monitor
}

// Start opens the entry's addresses and starts to serve.
func (d *Daemon) Start(context.Context) error {
	if d.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(d.settings.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if err := d.listen(d.settings.Callers, d.handler, d.gate); err != nil {
		return err
	}
	probes := newProbeGate(d.log)
	if err := d.listen(d.settings.Readiness, http.HandlerFunc(d.serveReadiness), probes); err != nil {
		return err
	}
	if d.settings.Metrics != "" {
		if err := d.listen(d.settings.Metrics, http.HandlerFunc(d.serveMetrics), probes); err != nil {
			// An entry can serve without metrics.
			d.log.Warn("cannot listen on the metrics address", "address", d.settings.Metrics, "error", err)
		}
	}
	d.spawn(ctx, d.follower.Run)
	d.spawn(ctx, d.operator.Run)
	d.spawn(ctx, d.appender.Run)
	d.spawn(ctx, d.runElections)
	d.log.Info("started", "node", d.settings.Node, "zone", d.settings.AvailabilityZone, "callers", d.settings.Callers)
	return nil
}

func (d *Daemon) spawn(ctx context.Context, run func(context.Context)) {
	d.group.Add(1)
	go func() {
		defer d.group.Done()
		run(ctx)
	}()
}

func (d *Daemon) listen(address string, handler http.Handler, gate *ingress.Gate) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := gate.Server(handler)
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(gate.Listener(l)); err != nil && !d.stopping.Load() {
			d.log.Error("server stopped", "address", address, "error", err)
		}
	}()
	return nil
}

// serveReadiness answers the balancer's health check.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	staleness, known := d.follower.LedgerStaleness(time.Now())
	if d.stopping.Load() || d.operator.Manifest() == nil || !known || staleness > maxReadyStaleness {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A client that disconnected needs no response.
	_ = json.NewEncoder(w).Encode(d.snapshot())
}

// snapshot returns all counters of the entry.
func (d *Daemon) snapshot() map[string]any {
	out := d.metrics.snapshot()
	for name, n := range d.gate.Counters() {
		out[name] = n
	}
	return out
}

// runElections campaigns whenever the fleet has no leader.
func (d *Daemon) runElections(ctx context.Context) {
	candidate := NewCandidate(d.store, d.follower, d.settings.Node, d.settings.ProcessorShare, d.log)
	for ctx.Err() == nil {
		sleep(ctx, electionCheckInterval)
		if d.stopping.Load() || d.operator.Manifest() == nil {
			continue
		}
		token, ok := candidate.Campaign(ctx, time.Now())
		if !ok {
			continue
		}
		leader := d.newLeader(token)
		d.follower.Read(func(v *ledger.View) {
			leader.previousResigned = v.LeaderOffset < 0 || v.Leader.Resigned && !v.Leader.TakeoverFailed
			leader.previousStoredVMOrders = v.Leader.StoresVMOrders
		})
		leaderCtx, cancel := context.WithCancelCause(ctx)
		leader.cancel = cancel
		d.leader.Store(leader)
		leader.Run(leaderCtx)
		d.leader.Store(nil)
		if leader.unready {
			candidate.backOff(time.Now())
		}
	}
}

func (d *Daemon) newLeader(token int64) *Leader {
	s := d.settings
	return &Leader{
		store: d.store, workers: d.workers, decoder: d.decoder, advice: d.advice,
		follower: d.follower, operator: d.operator, vmController: NewVMController(d.vms),
		node: s.Node, fencingToken: token, log: d.log.Named("owner"), metrics: d.metrics, lateness: d.lateness,
		stateRetention:   settings.Seconds(s.KeepStateS),
		vmOperationLease: time.Duration(s.VMOrderLeaseMS) * time.Millisecond,
		config: scheduler.Config{
			MaxLease:           d.settings.MaxLease(),
			MaintenanceTime:    settings.Seconds(s.MaintenanceS),
			MoveTime:           settings.Seconds(s.MoveS),
			MaxStopTime:        time.Duration(s.StopMS) * time.Millisecond,
			CheckpointInterval: settings.Seconds(s.CheckpointS),
			RemoteDataFactor:   s.FarFactor,
			RestoreTime:        time.Duration(s.RestoreMS) * time.Millisecond,
			Policies: scheduler.Policies{
				Entitlement: s.Policies.Entitlement, Preemption: s.Policies.Preemption,
				Consolidation: s.Policies.Consolidation, Lookahead: s.Policies.Lookahead,
				StoredVMOrders: s.Policies.StoredVMOrders,
			},
		},
	}
}

// Stop transfers leadership, serves on until the balancer has removed the entry, and
// closes.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	grace := settings.Seconds(d.settings.StopGraceS)
	d.stopping.Store(true)
	d.jobService.StartShutdown()
	if leader := d.leader.Load(); leader != nil {
		resignCtx, cancel := context.WithTimeout(ctx, electionTimeout)
		leader.Resign(resignCtx)
		cancel()
		leader.cancel(errEntryStops)
	}
	sleep(ctx, time.Duration(float64(grace)*drainFraction))
	closeCtx, cancel := context.WithTimeout(ctx, time.Duration(float64(grace)*closeFraction))
	defer cancel()
	for _, s := range d.servers {
		// Connections still in use at the end of the grace period are cut.
		if err := s.Shutdown(closeCtx); err != nil {
			d.log.Warn("server did not shut down in time", "error", err)
		}
	}
	d.cancel()
	d.log.Info("stopped")
	if d.sink != nil {
		d.sink.Close()
	}
	return nil
}
