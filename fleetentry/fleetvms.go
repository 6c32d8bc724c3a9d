package fleetentry

import (
	"context"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/periodic"

	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

const (
	// listEvery is how often the VMs are listed; each list is priced.
	listEvery = 600 * time.Millisecond
	// planVMsEvery is how often moves and maintenance are decided on.
	planVMsEvery = 100 * time.Millisecond
	// listTimeout bounds one list.
	listTimeout = 1500 * time.Millisecond
	// vmOrderTimeout bounds one order.
	vmOrderTimeout = 1500 * time.Millisecond
	// freshList is the age of the list up to which orders follow from it.
	freshList = 2500 * time.Millisecond
)

// VMController orders moves and maintenance of VMs for the owner.
type VMController struct {
	vms VMs
	// listSoon asks for a list at once.
	listSoon chan struct{}
}

// NewVMController returns what orders moves and maintenance through the interface.
func NewVMController(vms VMs) *VMController {
	return &VMController{vms: vms, listSoon: make(chan struct{}, 1)}
}

// run lists the VMs and carries out what is decided, until the term ends.
func (f *VMController) run(o *Leader) func(context.Context) {
	return func(ctx context.Context) {
		o.spawn(ctx, func(ctx context.Context) { f.list(ctx, o) })
		periodic.Run(ctx, clockwork.NewRealClock(), planVMsEvery, func(ctx context.Context) { f.plan(ctx, o) })
	}
}

func (f *VMController) list(ctx context.Context, o *Leader) {
	lost := false
	for ctx.Err() == nil {
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := f.vms.List(callCtx)
		cancel()
		if err != nil {
			if !lost {
				o.log.Warn("lost the list of VMs", "error", err)
			}
			lost = true
			sleep(ctx, listEvery)
			continue
		}
		if lost {
			o.log.Info("the list of VMs is back")
		}
		lost = false
		o.mu.Lock()
		o.sched.SetVMs(list, sent, time.Now())
		o.listedAt = sent
		o.flush(time.Now())
		o.nudge()
		o.mu.Unlock()
		timer := time.NewTimer(listEvery)
		select {
		case <-ctx.Done():
		case <-f.listSoon:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// plan decides and sends what is due.
func (f *VMController) plan(ctx context.Context, o *Leader) {
	o.mu.Lock()
	now := time.Now()
	o.followWaves()
	if !o.journal.LeaderLeaseValidForVMs(now) || now.Sub(o.listedAt) > freshList {
		o.mu.Unlock()
		return
	}
	o.sched.PlanVMs(now)
	orders := o.sched.TakeVMOperations()
	finished := o.sched.TakeFinishedWaves()
	o.flush(now)
	o.mu.Unlock()
	for _, order := range orders {
		go f.send(ctx, o, order)
	}
	for _, number := range finished {
		go f.publish(ctx, o, number)
	}
}

func (f *VMController) send(ctx context.Context, o *Leader, order scheduler.VMOperation) {
	callCtx, cancel := context.WithTimeout(ctx, vmOrderTimeout)
	defer cancel()
	var err error
	switch {
	case !o.journal.LeaderLeaseValidForVMs(time.Now()):
		err = &provider.Error{Op: "vms.order", Outcome: provider.Refused, Code: provider.CodeLeaseLapsed, Message: "the owner cannot prove that it still is"}
	case order.Kind == scheduler.VMMove:
		err = f.vms.Move(callCtx, order.VM, order.Pool, o.token)
	default:
		err = f.vms.Maintain(callCtx, order.VM, order.Wave, o.token)
	}
	o.metrics.Add("vm_orders", 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.sched.HandleVMOperation(order, err, now)
	if order.Kind == scheduler.VMMaintain {
		signal(f.listSoon)
	}
	o.flush(now)
	o.nudge()
}

// publish tells the operator that a wave is completed.
func (f *VMController) publish(ctx context.Context, o *Leader, number int64) {
	callCtx, cancel := context.WithTimeout(ctx, mostPatience)
	defer cancel()
	err := o.store.PublishWave(callCtx, number, true)
	o.log.Info("wave completed", "wave", number, "error", err)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sched.HandleWavePublication(number, err)
}

// followWaves takes in the waves that the operator has published. The lock is
// held.
func (o *Leader) followWaves() {
	for _, published := range o.operator.Waves() {
		var known ledger.Wave
		o.follower.Read(func(v *ledger.View) { known = v.Waves[strconv.FormatInt(published.Wave.Number, 10)] })
		began := published.SeenAt
		if known.FirstSeenAtMillis > 0 {
			began = time.UnixMilli(known.FirstSeenAtMillis)
		}
		o.sched.SetWave(published.Wave, began, known.StartedVMs)
	}
}
