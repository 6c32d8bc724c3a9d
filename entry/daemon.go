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
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/peer"
	"github.com/anvilcourse/anvilcourse/settings"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	readHeaderTimeout = 5 * time.Second
	joinRetry         = 200 * time.Millisecond
	drainPoll         = 10 * time.Millisecond
	// unreadyFor lets the balancer notice that the entry is not ready before
	// it refuses requests.
	unreadyFor = 500 * time.Millisecond
)

// parts are what the daemon runs.
type parts struct {
	fx.In

	Settings   settings.Entry
	ID         identity
	Logger     hclog.Logger
	Stream     *logstream.Stream
	PeerClient *peer.Client
	Limbo      *dispatch.InDoubtSet
	Dispatcher *dispatch.Dispatcher
	Operators  *operators
	Ready      *readiness
	Metrics    *metrics
	Traffic    *traffic
	Records    *recordEvents

	Tasks          []task           `group:"tasks"`
	OperatorRoutes []operatorRoutes `group:"operator_routes"`
	CallerRoutes   []callerRoutes   `group:"caller_routes"`
	Peers          []peerRoute      `group:"peers"`
	StopSteps      []stopStep       `group:"stop_steps"`
}

// daemon is the running entry.
type daemon struct {
	parts
	cancel     context.CancelFunc
	background sync.WaitGroup
	callers    *http.Server
	operators  *http.Server
	peers      *peer.Server
}

// register ties the daemon to the application's life cycle.
func register(lifecycle fx.Lifecycle, p parts) {
	d := &daemon{parts: p}
	lifecycle.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
}

// start opens the listeners and the background work. It does not wait for
// the log: the entry reports itself not ready until it has joined.
func (d *daemon) start(context.Context) error {
	gin.SetMode(gin.ReleaseMode)
	listeners, err := listenAll(d.Settings.Peers, d.Settings.Operators, d.Settings.Callers)
	if err != nil {
		return err
	}
	d.peers = peer.NewServer(d.Traffic.peers.Listener(listeners[0]), peerRoutes(d.Peers), d.Logger)
	d.operators = newHTTPServer(d.Operators.handler(d.OperatorRoutes))
	d.callers = newHTTPServer(newCallersHandler(d.Settings, d.Dispatcher, d.Metrics, d.CallerRoutes))
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.run(d.peers.Serve)
	d.run(func() { _ = d.operators.Serve(listeners[1]) })
	d.run(func() { _ = d.callers.Serve(listeners[2]) })
	for _, work := range append(d.Tasks, task{name: "join", run: d.join}) {
		d.run(func() { work.run(ctx) })
	}
	d.Logger.Info("entry started", "callers", d.Settings.Callers, "operators", d.Settings.Operators, "peers", d.Settings.Peers)
	return nil
}

func (d *daemon) run(work func()) {
	d.background.Go(work)
}

// join writes the entry's membership until it is in the control state.
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
		d.Logger.Warn("entry has not joined yet", "error", err.Error())
		select {
		case <-ctx.Done():
		case <-time.After(joinRetry):
		}
	}
}

// stop ends the entry without cutting a request: it reports itself not ready,
// finishes what runs, leaves and then closes.
func (d *daemon) stop(ctx context.Context) error {
	d.Ready.stopping.Store(true)
	time.Sleep(unreadyFor)
	d.Dispatcher.Stop()
	deadline, cancel := context.WithTimeout(ctx, d.Settings.StopTimeout.Duration())
	defer cancel()
	if !d.drain(deadline) {
		d.Logger.Error("graceful stop timed out", "inflight", d.Dispatcher.Inflight(), "unsettled", d.Limbo.Len())
	} else {
		d.finish(deadline)
	}
	_ = d.callers.Shutdown(deadline)
	_ = d.operators.Shutdown(deadline)
	d.peers.Close()
	d.PeerClient.Close()
	d.cancel()
	d.background.Wait()
	d.Logger.Info("entry stopped")
	return nil
}

// drain waits until nothing runs and reports whether that came in time.
func (d *daemon) drain(ctx context.Context) bool {
	for d.Dispatcher.Inflight() > 0 || d.Limbo.Len() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainPoll):
		}
	}
	return true
}

// finish runs the modules' parts of a graceful stop and then leaves. After a
// part that failed the entry does not leave, because it may still hold
// something: the other entries remove it and make sure.
func (d *daemon) finish(ctx context.Context) {
	for _, step := range d.StopSteps {
		if err := step.run(ctx); err != nil {
			d.Logger.Error("a step of the graceful stop failed; the entry exits without leaving", "step", step.name, "error", err.Error())
			return
		}
	}
	d.leave(ctx)
}

// leave gives up the membership and with it the allotments.
func (d *daemon) leave(ctx context.Context) {
	_, err := d.Stream.Propose(ctx, &statemachine.EntryLeave{Incarnation: d.ID.incarnation})
	if err != nil {
		d.Logger.Warn("entry has not left the membership", "error", err.Error())
	}
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
}

// listenAll opens a listener per address, or none.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		out = append(out, listener)
	}
	return out, nil
}
