package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// vm is one VM as the owner knows it.
type vm struct {
	info fleet.VM
	// ordered is the order that is under way or whose effect is not listed yet.
	ordered *VMOperation
	// orderedAt is when it was decided, doneAt when it was answered with success.
	orderedAt time.Time
	doneAt    time.Time
	// unsure orders got no answer.
	unsure bool
	// draining VMs get no new work because of the order to come.
	draining   VMOperationKind
	drainingAt time.Time
	wave       int64
	// emptySince is when the last run on the VM ended, or when its worker came to its
	// pool; zero while it has runs.
	emptySince time.Time
	// holdOff keeps orders off a VM whose last order was refused.
	holdOff time.Time
}

// VMOperationKind is what a VM is ordered to do.
type VMOperationKind int

// Kinds of orders.
const (
	VMNoOperation VMOperationKind = iota
	VMMove
	VMMaintain
)

// VMOperation is an order for one VM.
type VMOperation struct {
	Kind VMOperationKind
	VM   string
	// Pool goes with VMMove, Wave with VMMaintain.
	Pool string
	Wave int64
}

const (
	// listLag is how long the effect of an order that was answered with success may
	// take to show in the list of VMs, which lags by up to 0.8 s; unsureListLag is the
	// same for an order without an answer, which may also be carried out later.
	listLag       = 1200 * time.Millisecond
	unsureListLag = 2 * time.Second
	// orderHoldOff is the pause after a refused order.
	orderHoldOff = 500 * time.Millisecond
)

// SetVMs takes in the platform's list of VMs, asked for at the time sent.
func (s *Scheduler) SetVMs(list []fleet.VM, sent, now time.Time) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		info := list[i]
		listed[info.Name] = true
		v, known := s.vms[info.Name]
		if !known {
			v = &vm{}
			s.vms[info.Name] = v
		}
		s.resolveOrder(v, info, sent, now)
		if info.Pool != v.info.Pool || info.WorkerID != v.info.WorkerID {
			v.emptySince = time.Time{} // A new worker has not idled yet.
		}
		v.info = info
	}
	for name := range s.vms {
		if !listed[name] {
			delete(s.vms, name)
		}
	}
	s.vmsAt = now
}

// resolveOrder ends an answered order once a later list shows its effect, or
// shows that it had none: an order that was carried out before succeeds, too, and
// then the worker lives on.
func (s *Scheduler) resolveOrder(v *vm, listed fleet.VM, sent, now time.Time) {
	if v.ordered == nil || v.doneAt.IsZero() || !sent.After(v.doneAt) {
		return
	}
	took := listed.State != fleet.VMUp || listed.WorkerID != v.info.WorkerID
	lag := listLag
	if v.unsure {
		lag = unsureListLag
	}
	if !took && now.Sub(v.doneAt) < lag {
		return
	}
	if w := s.workerOf(v); w != nil {
		w.ending = false
		if took {
			s.bury(w, now, "its VM is moved or maintained")
		}
	}
	v.ordered, v.unsure = nil, false
	v.draining = VMNoOperation
}

// workerOf returns the worker that lives on the VM, or nil.
func (s *Scheduler) workerOf(v *vm) *worker {
	if v.info.WorkerID == "" {
		return nil
	}
	return s.workers[v.info.WorkerID]
}

// orderable reports whether the VM is up, no order for it is under way, and the
// last owner has given none lately: every order begins a new life of the worker.
func (s *Scheduler) orderable(v *vm, now time.Time) bool {
	if v.info.State != fleet.VMUp || v.ordered != nil || now.Before(v.holdOff) {
		return false
	}
	if now.Sub(s.tookAt) >= s.cfg.PreviousLeaderOperationWindow {
		return true
	}
	w := s.workerOf(v)
	if w == nil || w.info.StartedAtMillis == 0 {
		return false
	}
	age := time.Duration(now.UnixMilli()-w.info.StartedAtMillis) * time.Millisecond
	return age > s.cfg.PreviousLeaderOperationWindow+bornMargin
}

// order decides an order for the VM.
func (s *Scheduler) order(v *vm, o VMOperation, now time.Time) {
	v.ordered, v.orderedAt, v.doneAt = &o, now, time.Time{}
	if w := s.workerOf(v); w != nil {
		w.ending = true
	}
	s.vmOrders = append(s.vmOrders, o)
	what := "vm.move"
	why := o.Pool
	if o.Kind == VMMaintain {
		what, why = "vm.maintain", ""
	}
	s.note(Event{Kind: what, ID: o.VM, Reason: why, Worker: v.info.WorkerID})
}

// HandleVMOperation takes in the answer to an order.
func (s *Scheduler) HandleVMOperation(o VMOperation, err error, now time.Time) {
	v, known := s.vms[o.VM]
	if err == nil && o.Kind == VMMaintain {
		s.maintained(o)
	}
	if !known || v.ordered == nil || *v.ordered != o {
		return
	}
	if err == nil {
		v.doneAt = now
		return
	}
	s.note(Event{Kind: "vm.order_failed", ID: o.VM, Reason: err.Error()})
	v.holdOff = now.Add(orderHoldOff)
	if provider.OutcomeOf(err) == provider.Unknown {
		// It may have been carried out: the list shows it, or it is sent again.
		v.doneAt, v.unsure = now, true
		return
	}
	if provider.CodeOf(err) == provider.CodeFenced {
		s.deposed = true
	}
	v.ordered = nil
	if w := s.workerOf(v); w != nil {
		w.ending = false
	}
	if o.Kind == VMMove || provider.CodeOf(err) == provider.CodeNotInWave {
		s.undrain(v)
	}
	if o.Kind == VMMaintain && provider.CodeOf(err) == provider.CodeInvalid {
		s.maintained(o) // The VM is gone for good.
	}
}

// drain keeps new work off the VM.
func (s *Scheduler) drain(v *vm, kind VMOperationKind, now time.Time) {
	v.draining, v.drainingAt = kind, now
	if w := s.workerOf(v); w != nil {
		w.cordoned = true
	}
}

func (s *Scheduler) undrain(v *vm) {
	v.draining = VMNoOperation
	if w := s.workerOf(v); w != nil {
		w.cordoned = false
	}
}

// TakeVMOperations returns the orders decided since the last call.
func (s *Scheduler) TakeVMOperations() []VMOperation {
	out := s.vmOrders
	s.vmOrders = nil
	return out
}

// PlanVMs decides which VMs are maintained and which are moved.
func (s *Scheduler) PlanVMs(now time.Time) {
	if s.vmsAt.IsZero() {
		return
	}
	for _, v := range s.vms {
		w := s.workerOf(v)
		switch {
		case v.info.State != fleet.VMUp:
			v.emptySince = time.Time{}
		case w == nil || len(w.tasks) == 0:
			if v.emptySince.IsZero() {
				v.emptySince = now
			}
		default:
			v.emptySince = time.Time{}
		}
		if w != nil {
			w.cordoned = v.draining != VMNoOperation || v.ordered != nil
		}
	}
	s.planWaves(now)
	s.planPools(now)
}
