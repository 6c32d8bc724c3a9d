package fleetentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

const (
	// heartbeatEvery is how often the owner tells of itself.
	heartbeatEvery = 250 * time.Millisecond
	// tickEvery is how often what time alone brings is handled.
	tickEvery = 100 * time.Millisecond
	// planPause lets events that come together be decided on together.
	planPause = 4 * time.Millisecond
	// planEvery is how often work is placed with no event.
	planEvery = 250 * time.Millisecond
	// leaseFor is how far the owner extends leases: through a takeover, yet short
	// enough that the work of a lost worker is soon started elsewhere.
	leaseFor = 4 * time.Second
	// maxWaitingEntries is how many of the owner's entries may wait for the store
	// before no more heartbeats are added.
	maxWaitingEntries = 32
	// ownerTimeout bounds what an owner does before its first decision.
	ownerTimeout = 3 * time.Second
)

// Leader is one term as the fleet's owner.
type Leader struct {
	store    Store
	workers  Workers
	decoder  Decoder
	advice   Advice
	follower *Follower
	operator *OperatorWatcher
	fleetVMs *VMController
	node     string
	token    int64
	log      hclog.Logger
	metrics  *Metrics
	config   scheduler.Config
	// keepState is for how long callers may ask for an ended job.
	keepState time.Duration
	// orderLease is how long an earlier owner's orders may be under way.
	orderLease time.Duration

	mu      sync.Mutex
	sched   *scheduler.Scheduler
	journal *Journal
	looks   map[string]*lookLoop
	// callPace is guarded by mu.
	callPace callPace
	kick     chan struct{}
	group    sync.WaitGroup
	cancel   context.CancelFunc
	began    time.Time
	// owns tells that the takeover is over.
	owns atomic.Bool
	// graceful terms begin after the last owner has stopped by itself, or as the
	// first.
	graceful bool
	listed   *workerList
	// listedAt is when the newest list of VMs was asked for.
	listedAt time.Time
}

// Run owns the fleet until the context ends or the term is lost.
func (o *Leader) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	o.cancel = cancel
	defer cancel()
	o.began = time.Now()
	o.kick = make(chan struct{}, 1)
	o.looks = map[string]*lookLoop{}
	o.journal = NewJournal(o.store, o.token, o.log, o.stored)
	if err := o.takeOver(ctx); err != nil {
		o.log.Warn("the takeover failed", "token", o.token, "error", err)
		cancel()
		o.group.Wait()
		return
	}
	o.owns.Store(true)
	o.log.Info("owns the fleet", "token", o.token, "ms", time.Since(o.began).Milliseconds())
	o.follower.SetListener(o.heard)
	o.operator.OnChange(o.manifestChanged)
	defer o.operator.OnChange(nil)
	defer o.follower.SetListener(nil)
	o.catchUp()
	o.spawn(ctx, o.openStreams)
	o.spawn(ctx, o.watchWorkers)
	o.spawn(ctx, o.plan)
	o.spawn(ctx, o.sweep)
	o.spawn(ctx, o.fleetVMs.run(o))
	o.tick(ctx)
	cancel()
	o.group.Wait()
	o.log.Info("no longer owns the fleet", "token", o.token, "s", time.Since(o.began).Seconds())
}

func (o *Leader) spawn(ctx context.Context, do func(context.Context)) {
	o.group.Add(1)
	go func() {
		defer o.group.Done()
		do(ctx)
	}()
}

// heard takes in new records of entries.
func (o *Leader) heard(records []fleet.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	changed := false
	for _, r := range records {
		id, kind := ledger.JobOf(r)
		if kind == ledger.RecordOther {
			continue
		}
		o.follower.Read(func(v *ledger.View) {
			j := v.Jobs[id]
			if j == nil || j.Submission == nil || j.Result.Outcome != ledger.OutcomeNone {
				return
			}
			changed = true
			o.sched.Submit(j.Submission, now)
			if j.Cancelled {
				o.sched.Cancel(id, now)
			}
		})
	}
	if changed {
		o.flush(now)
		o.nudge()
	}
}

func (o *Leader) manifestChanged(m *fleet.Manifest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sched.SetManifest(m)
	o.nudge()
}

// nudge asks for work to be placed soon.
func (o *Leader) nudge() {
	select {
	case o.kick <- struct{}{}:
	default:
	}
}

// flush hands out what has been decided. The lock is held.
func (o *Leader) flush(now time.Time) {
	for _, e := range o.sched.TakeEvents() {
		o.logEvent(e)
		o.metrics.Add("event_"+e.Kind, 1)
	}
	b := o.sched.TakeBatch()
	if b.Empty() {
		return
	}
	if b.NeedsPersisting() {
		o.journal.Enqueue(b.Number, b.Records)
	}
	for i := range b.Stops {
		go o.stop(b.Stops[i])
	}
	for i := range b.Throttles {
		go o.pace(b.Throttles[i])
	}
	for i := range b.AdviceRequests {
		go o.ask(b.AdviceRequests[i])
	}
	for _, id := range b.PollSoon {
		if l, known := o.looks[id]; known {
			go l.look(l.ctx, false)
		}
	}
	if o.sched.Fenced() {
		o.log.Warn("a worker has seen a later owner", "token", o.token)
		o.cancel()
	}
}

// logEvent writes one decision with the members that it has.
func (o *Leader) logEvent(e scheduler.Event) {
	members := []any{e.SubjectKind(), e.ID, "why", e.Reason}
	if e.Worker != "" {
		members = append(members, "on", e.Worker)
	}
	if e.Attempt > 0 {
		members = append(members, "attempt", e.Attempt)
	}
	o.log.Info(e.Kind, members...)
}

// stored sends what waited for the store.
func (o *Leader) stored(numbers []int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sched == nil {
		return
	}
	now := time.Now()
	for _, n := range numbers {
		for _, start := range o.sched.HandleBatchPersisted(n, now) {
			go o.start(start)
		}
	}
	for _, l := range o.looks {
		l.storedThrough()
	}
	o.flush(now)
}

// plan places work whenever something has changed.
func (o *Leader) plan(ctx context.Context) {
	timer := time.NewTicker(planEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.kick:
			sleep(ctx, planPause)
		case <-timer.C:
		}
		o.mu.Lock()
		now := time.Now()
		if o.journal.LeaderLeaseValid(now) {
			o.sched.Place(now)
		}
		o.flush(now)
		o.mu.Unlock()
	}
}

// tick handles what time alone brings until the term ends.
func (o *Leader) tick(ctx context.Context) {
	timer := time.NewTicker(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if o.journal.Fenced() {
			return
		}
		o.mu.Lock()
		now := time.Now()
		o.sched.Tick(now)
		o.followWorkers(ctx)
		o.flush(now)
		o.mu.Unlock()
	}
}
