package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/ingress"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/peer"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	readHeaderTimeout = 5 * time.Second
	joinRetryInterval = 200 * time.Millisecond
	drainPollInterval = 10 * time.Millisecond
	// unreadyDelay lets the load balancer see that the entry is not ready before
	// it rejects requests.
	unreadyDelay = 500 * time.Millisecond
)

// params are the dependencies of the daemon.
type params struct {
	fx.In

	Settings     settings.Entry
	ID           identity
	Logger       hclog.Logger
	Stream       *logstream.Stream
	PeerClient   *peer.Client
	InDoubt      *dispatch.InDoubtSet
	Dispatcher   *dispatch.Dispatcher
	Operators    *operatorAPI
	Readiness    *readiness
	Metrics      *metrics
	Traffic      *traffic
	Gate         *ingress.Gate
	RecordEvents *recordEvents

	BackgroundTasks []backgroundTask `group:"tasks"`
	OperatorRoutes  []operatorRoutes `group:"operator_routes"`
	ClientRoutes    []clientRoutes   `group:"caller_routes"`
	PeerRoutes      []peerRoute      `group:"peers"`
	StopSteps       []stopStep       `group:"stop_steps"`
}

// daemon is the running entry.
type daemon struct {
	params
	cancel         context.CancelFunc
	background     sync.WaitGroup
	clientServer   *http.Server
	operatorServer *http.Server
	peerServer     *peer.Server
}

// register hooks the daemon into the application's lifecycle.
func register(lifecycle fx.Lifecycle, p params) {
	d := &daemon{params: p}
	lifecycle.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
}

// start opens the listeners and starts the background work. It does not wait
// for the log: the entry reports itself not ready until it has joined.
func (d *daemon) start(context.Context) error {
	gin.SetMode(gin.ReleaseMode)
	listeners, err := listenAll(d.Settings.Peers, d.Settings.Operators, d.Settings.Callers)
	if err != nil {
		return err
	}
	d.peerServer = peer.NewServer(d.Traffic.peers.Listener(listeners[0]), peerRoutes(d.PeerRoutes), d.Logger)
	d.operatorServer = newHTTPServer(d.Operators.handler(d.OperatorRoutes))
	d.clientServer = d.Gate.Server(newClientHandler(d.Settings, d.Dispatcher, d.Metrics, d.Gate, d.ClientRoutes))
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.run(d.peerServer.Serve)
	d.run(func() { _ = d.operatorServer.Serve(listeners[1]) })
	d.run(func() { _ = d.clientServer.Serve(d.Gate.Listener(listeners[2])) })
	for _, work := range append(d.BackgroundTasks, backgroundTask{name: "join", run: d.join}) {
		d.run(func() { work.run(ctx) })
	}
	d.Logger.Info("entry started", "callers", d.Settings.Callers, "operators", d.Settings.Operators, "peers", d.Settings.Peers)
	return nil
}

func (d *daemon) run(work func()) {
	d.background.Go(work)
}

// join proposes the join record until it is in the control state.
func (d *daemon) join(ctx context.Context) {
	for ctx.Err() == nil {
		_, err := d.Stream.Propose(ctx, &statemachine.EntryJoin{Entry: statemachine.Entry{
			Incarnation:      d.ID.incarnation,
			Name:             d.Settings.Name,
			AvailabilityZone: d.Settings.AvailabilityZone,
			PeerAddress:      d.Settings.Peers,
			ClientAddress:    d.Settings.Callers,
			OperatorAddress:  d.Settings.Operators,
		}})
		if err == nil {
			d.Logger.Info("entry joined", "offset", d.Stream.State().NextOffset)
			return
		}
		d.Logger.Warn("failed to join the membership, retrying", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
}

// stop stops the entry without interrupting a request: it reports itself not
// ready, waits for running work, leaves the membership and then closes.
func (d *daemon) stop(ctx context.Context) error {
	d.Readiness.stopping.Store(true)
	time.Sleep(unreadyDelay)
	d.Dispatcher.Stop()
	deadline, cancel := context.WithTimeout(ctx, d.Settings.StopTimeout.Duration())
	defer cancel()
	if !d.drain(deadline) {
		d.Logger.Error("graceful stop timed out", "inflight", d.Dispatcher.Inflight(), "unsettled", d.InDoubt.Len())
	} else {
		d.leaveGracefully(deadline)
	}
	_ = d.clientServer.Shutdown(deadline)
	_ = d.operatorServer.Shutdown(deadline)
	d.peerServer.Close()
	d.PeerClient.Close()
	d.cancel()
	d.background.Wait()
	d.Logger.Info("entry stopped")
	return nil
}

// drain waits until no work runs and reports whether that was in time.
func (d *daemon) drain(ctx context.Context) bool {
	for d.Dispatcher.Inflight() > 0 || d.InDoubt.Len() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainPollInterval):
		}
	}
	return true
}

// leaveGracefully runs the modules' steps of a graceful stop and then leaves the
// membership. After a failed step the entry does not leave, because it may
// still hold resources: the other entries remove it and verify that.
func (d *daemon) leaveGracefully(ctx context.Context) {
	for _, step := range d.StopSteps {
		if err := step.run(ctx); err != nil {
			d.Logger.Error("a step of the graceful stop failed; the entry exits without leaving", "step", step.name, "error", err.Error())
			return
		}
	}
	d.leave(ctx)
}

// leave ends the membership, which releases the allotments.
func (d *daemon) leave(ctx context.Context) {
	_, err := d.Stream.Propose(ctx, &statemachine.EntryLeave{Incarnation: d.ID.incarnation})
	if err != nil {
		d.Logger.Warn("failed to leave the membership", "error", err.Error())
	}
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// listenAll opens one listener per address; on an error it closes them all.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range out {
				_ = opened.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		out = append(out, listener)
	}
	return out, nil
}
