package fleetentry

import (
	"context"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/periodic"

	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

const (
	// vmListInterval is how often the VMs are listed; each list is priced.
	vmListInterval = 600 * time.Millisecond
	// planVMsInterval is how often moves and maintenance are planned.
	planVMsInterval = 100 * time.Millisecond
	// vmListTimeout bounds one list call.
	vmListTimeout = 1500 * time.Millisecond
	// maxVMListAge is the age of the list up to which operations are based on it.
	maxVMListAge = 2500 * time.Millisecond
	// maxVMOperations is how many operations may be in flight; the client has as many
	// connections, so that none waits for one.
	maxVMOperations = 4
)

// VMController executes moves and maintenance of VMs for the leader.
type VMController struct {
	vms VMs
	// relist requests a list at once.
	relist chan struct{}
	// due tells that operations may be sent before the next plan.
	due chan struct{}
	// inFlight holds an element for each operation in flight.
	inFlight chan struct{}
}

// NewVMController returns a controller that uses the interface.
func NewVMController(vms VMs) *VMController {
	return &VMController{vms: vms, relist: make(chan struct{}, 1), due: make(chan struct{}, 1), inFlight: make(chan struct{}, maxVMOperations)}
}

// run lists the VMs and executes planned operations until the term ends.
func (c *VMController) run(l *Leader) func(context.Context) {
	return func(ctx context.Context) {
		l.spawn(ctx, func(ctx context.Context) { c.list(ctx, l) })
		l.spawn(ctx, func(ctx context.Context) { c.sendDue(ctx, l) })
		periodic.Run(ctx, clockwork.NewRealClock(), planVMsInterval, func(ctx context.Context) { c.plan(ctx, l) })
	}
}

func (c *VMController) list(ctx context.Context, l *Leader) {
	failing := false
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
		list, err := c.vms.List(callCtx)
		cancel()
		if err != nil {
			if !failing {
				l.log.Warn("listing VMs failed", "error", err)
			}
			failing = true
			sleep(ctx, vmListInterval)
			continue
		}
		if failing {
			l.log.Info("listing VMs works again")
		}
		failing = false
		l.mu.Lock()
		l.sched.SetVMs(list, sent, time.Now())
		l.vmsListedAt = sent
		l.flush(time.Now())
		l.wakePlanner()
		l.mu.Unlock()
		timer := time.NewTimer(vmListInterval)
		select {
		case <-ctx.Done():
		case <-c.relist:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// plan plans and sends what is due.
func (c *VMController) plan(ctx context.Context, l *Leader) {
	l.mu.Lock()
	now := time.Now()
	l.syncWaves()
	if l.journal.VMLeaseLeft(now) <= 0 || now.Sub(l.vmsListedAt) > maxVMListAge {
		l.mu.Unlock()
		return
	}
	l.sched.PlanVMs(now)
	operations := l.sched.TakeVMOperations()
	finished := l.sched.TakeFinishedWaves()
	l.flush(now)
	l.mu.Unlock()
	for _, operation := range operations {
		go c.execute(ctx, l, operation)
	}
	for _, number := range finished {
		go c.publishCompletion(ctx, l, number)
	}
}

// signalDue lets operations be sent whose orders have just been stored.
func (c *VMController) signalDue() { signal(c.due) }

// sendDue sends operations as soon as their orders are stored.
func (c *VMController) sendDue(ctx context.Context, l *Leader) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.due:
		}
		l.mu.Lock()
		operations := l.sched.TakeVMOperations()
		l.mu.Unlock()
		for _, operation := range operations {
			go c.execute(ctx, l, operation)
		}
	}
}

func (c *VMController) execute(ctx context.Context, l *Leader, operation scheduler.VMOperation) {
	err := c.send(ctx, l, operation)
	l.metrics.Add("vm_orders", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.sched.HandleVMOperation(operation, err, now)
	if operation.Kind == scheduler.VMMaintain {
		signal(c.relist)
	}
	l.flush(now)
	l.wakePlanner()
}

// send sends the operation within the leader's lease, which is checked once nothing is left
// to wait for and ends the call: where tokens are not checked, an order that arrives after the
// next leader's would count as one of two leaders at once.
func (c *VMController) send(ctx context.Context, l *Leader, operation scheduler.VMOperation) error {
	due := time.Now()
	notSent := &provider.Error{Op: "vms.order", Outcome: provider.Refused, Code: provider.CodeLeaseExpired, Message: "the leader lease has expired"}
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
	case <-ctx.Done():
		return notSent
	}
	lease := l.journal.VMLeaseLeft(time.Now())
	if lease <= 0 || elapsed.Max(time.Now(), due) > scheduler.MaxVMOrderWait {
		return notSent
	}
	ctx, cancel := context.WithTimeout(ctx, min(lease, scheduler.VMOrderTimeout))
	defer cancel()
	if operation.Kind == scheduler.VMMove {
		return c.vms.Move(ctx, operation.VM, operation.Pool, l.fencingToken)
	}
	return c.vms.Maintain(ctx, operation.VM, operation.Wave, l.fencingToken)
}

// publishCompletion reports to the operator that a wave is completed.
func (c *VMController) publishCompletion(ctx context.Context, l *Leader, number int64) {
	callCtx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
	defer cancel()
	err := l.store.PublishWave(callCtx, number, true)
	l.log.Info("wave completed", "wave", number, "error", err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sched.HandleWavePublication(number, err)
}

// syncWaves passes the operator's published waves to the scheduler. The lock is held.
func (l *Leader) syncWaves() {
	for _, published := range l.operator.Waves() {
		var known ledger.Wave
		l.follower.Read(func(v *ledger.View) { known = v.Waves[strconv.FormatInt(published.Wave.Number, 10)] })
		firstSeen := published.SeenAt
		if known.FirstSeenAtMillis > 0 {
			firstSeen = time.UnixMilli(known.FirstSeenAtMillis)
		}
		l.sched.SetWave(published.Wave, firstSeen, known.StartedVMs)
	}
}
