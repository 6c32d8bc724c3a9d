package fleetentry

import (
	"context"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/lateness"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

const (
	// heartbeatInterval is how often the leader sends a heartbeat.
	heartbeatInterval = 250 * time.Millisecond
	// tickInterval is how often time-based changes are handled.
	tickInterval = 100 * time.Millisecond
	// workerLeaseDuration is how far the leader extends leases: through a takeover,
	// yet short enough that the tasks of a lost worker soon start elsewhere.
	workerLeaseDuration = 4 * time.Second
	// maxPendingBatches is how many of the leader's batches may wait for the store
	// before no more heartbeats are added.
	maxPendingBatches = 32
	// leaderGCPercent is the garbage collector's target while the entry leads: calls
	// to workers leave much garbage beside little state. The daemon's memory limit
	// holds regardless.
	leaderGCPercent = 300
	// takeoverTimeout bounds what a leader does before its first decision.
	takeoverTimeout = 3 * time.Second
)

// Causes of the end of a term.
var (
	errEntryStops     = errors.New("the entry is stopping")
	errFencedByStore  = errors.New("the store rejected the leader's records")
	errFencedByWorker = errors.New("a worker has seen a later leader")
)

// Leader is one term as the fleet's leader.
type Leader struct {
	store        Store
	workers      Workers
	decoder      Decoder
	advice       Advice
	follower     *Follower
	operator     *OperatorWatcher
	vmController *VMController
	node         string
	fencingToken int64
	log          hclog.Logger
	metrics      *Metrics
	lateness     *lateness.Monitor
	config       scheduler.Config
	// stateRetention is for how long clients may query a finished job.
	stateRetention time.Duration
	// vmOperationLease is how long an earlier leader's VM operations may be in
	// flight.
	vmOperationLease time.Duration

	mu      sync.Mutex
	sched   *scheduler.Scheduler
	journal *Journal
	pollers map[string]*workerPoller
	// callTimeouts is guarded by mu.
	callTimeouts callTimeouts
	wake         chan struct{}
	group        sync.WaitGroup
	// cancel ends the term; its cause is logged.
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// takeoverDone is set once the takeover is over.
	takeoverDone atomic.Bool
	// unready is set if the takeover failed for lack of reads.
	unready bool
	// previousResigned is set if the previous leader resigned or there was none.
	previousResigned bool
	// previousStoredVMOrders is set if the previous leader stored its orders for VMs.
	previousStoredVMOrders bool
	workerList             *workerList
	// vmsListedAt is when the newest list of VMs was requested.
	vmsListedAt time.Time
}

// Run leads the fleet until the context ends or the term is lost. The context is the one that
// cancel ends.
func (l *Leader) Run(ctx context.Context) {
	defer l.cancel(nil)
	defer debug.SetGCPercent(debug.SetGCPercent(leaderGCPercent))
	l.startedAt = time.Now()
	l.wake = make(chan struct{}, 1)
	l.pollers = map[string]*workerPoller{}
	l.journal = NewJournal(l.store, l.fencingToken, l.log, l.metrics, l.handleStored)
	if err := l.takeOver(ctx); err != nil {
		l.log.Warn("takeover failed", "token", l.fencingToken, "error", err)
		l.cancel(err)
		l.group.Wait()
		return
	}
	l.takeoverDone.Store(true)
	l.log.Info("became leader", "token", l.fencingToken, "ms", time.Since(l.startedAt).Milliseconds(), "previous_resigned", l.previousResigned)
	l.follower.SetListener(l.handleEntryRecords)
	l.operator.OnChange(l.handleManifest)
	defer l.operator.OnChange(nil)
	l.operator.OnEvacuations(l.handleEvacuations)
	defer l.operator.OnEvacuations(nil)
	defer l.follower.SetListener(nil)
	l.applyMissed()
	l.spawn(ctx, l.createStreams)
	l.spawn(ctx, l.watchWorkers)
	l.spawn(ctx, l.plan)
	l.spawn(ctx, l.measureLateness)
	l.spawn(ctx, l.collectFinishedJobs)
	l.spawn(ctx, l.vmController.run(l))
	l.tick(ctx)
	l.cancel(nil)
	l.group.Wait()
	l.log.Info("leadership ended", "token", l.fencingToken, "s", time.Since(l.startedAt).Seconds(), "why", context.Cause(ctx).Error())
}

func (l *Leader) spawn(ctx context.Context, run func(context.Context)) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		run(ctx)
	}()
}

// handleEntryRecords handles new records of entries.
func (l *Leader) handleEntryRecords(records []fleet.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	changed := false
	for _, r := range records {
		id, kind := ledger.JobOf(r)
		if kind == ledger.RecordOther {
			continue
		}
		l.follower.Read(func(v *ledger.View) {
			j := v.Jobs[id]
			if j == nil || j.Submission == nil || j.Result.Outcome != ledger.OutcomeNone {
				return
			}
			changed = true
			l.sched.SubmitStored(j, now)
			if j.Cancelled {
				l.sched.Cancel(id, now)
			}
		})
	}
	if changed {
		l.flush(now)
		l.wakePlanner()
	}
}

func (l *Leader) handleManifest(m *fleet.Manifest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sched.SetManifest(m, time.Now())
	l.wakePlanner()
}

// handleEvacuations passes the zones being evacuated to the scheduler.
func (l *Leader) handleEvacuations(zones []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sched.SetEvacuations(zones, now)
	l.flush(now)
	l.wakePlanner()
}

// wakePlanner lets tasks be placed soon.
func (l *Leader) wakePlanner() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// flush sends what has been decided. The lock is held.
func (l *Leader) flush(now time.Time) {
	for _, e := range l.sched.TakeEvents() {
		l.logEvent(e)
		l.metrics.Add("event_"+e.Kind, 1)
	}
	b := l.sched.TakeBatch()
	if b.Empty() {
		return
	}
	if b.NeedsPersisting() {
		l.journal.Enqueue(b.Number, b.Records)
	}
	for i := range b.Stops {
		go l.sendStop(b.Stops[i])
	}
	for i := range b.Throttles {
		go l.sendThrottle(b.Throttles[i])
	}
	for i := range b.AdviceRequests {
		go l.requestAdvice(b.AdviceRequests[i])
	}
	l.metrics.Add("looks_before_start", int64(len(b.PollBeforeStart)))
	for _, id := range slices.Concat(b.PollSoon, b.PollBeforeStart) {
		if p, known := l.pollers[id]; known {
			go p.poll(p.ctx, false)
		}
	}
	if l.sched.Fenced() {
		l.log.Warn("a worker has seen a later leader", "token", l.fencingToken)
		l.cancel(errFencedByWorker)
	}
}

// logEvent logs one decision with the fields that it has.
func (l *Leader) logEvent(e scheduler.Event) {
	fields := []any{e.SubjectKind(), e.ID, "why", e.Reason}
	if e.Worker != "" {
		fields = append(fields, "on", e.Worker)
	}
	if e.Attempt > 0 {
		fields = append(fields, "attempt", e.Attempt)
	}
	l.log.Info(e.Kind, fields...)
}

// handleStored sends what waited for the store.
func (l *Leader) handleStored(numbers []int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sched == nil {
		return
	}
	now := time.Now()
	for _, n := range numbers {
		for _, start := range l.sched.HandleBatchPersisted(n, now) {
			go l.sendStart(start)
		}
	}
	if l.sched.HasVMOperations() {
		l.vmController.signalDue()
	}
	for id, p := range l.pollers {
		if _, unstored := l.sched.WorkerActivity(id); !unstored {
			p.notifyStored()
		}
	}
	l.flush(now)
}

// tick handles time-based changes until the term ends.
func (l *Leader) tick(ctx context.Context) {
	timer := time.NewTicker(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if l.journal.Fenced() {
			l.cancel(errFencedByStore)
			return
		}
		l.mu.Lock()
		now := time.Now()
		l.sched.Tick(now)
		l.syncPollers(ctx)
		l.flush(now)
		l.mu.Unlock()
	}
}
