package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/provider"
)

// vm is one VM as the leader knows it.
type vm struct {
	info fleet.VM
	// operation is pending, or its effect is not listed yet. operationOn is the
	// incarnation of the worker that it ends.
	operation   *VMOperation
	operationOn int64
	// operationAt is when it was decided, answeredAt when it succeeded or got in doubt.
	operationAt time.Time
	answeredAt  time.Time
	// inDoubt operations got no response.
	inDoubt bool
	// requested reports that the operation has been handed out to be sent.
	requested bool
	// drainFor is the operation to come for which the VM gets no new tasks.
	drainFor       VMOperationKind
	drainStartedAt time.Time
	wave           int64
	// vacateFor is the pool that gets the VM once it is empty.
	vacateFor string
	// wantedAt is when that pool last needed the VM.
	wantedAt time.Time
	// emptySince is when the last run on the VM ended, or when its worker joined its
	// pool; zero while it has runs.
	emptySince time.Time
	// backoffUntil delays operations on a VM whose last one failed.
	backoffUntil time.Time
}

// VMOperationKind is the kind of an operation on a VM.
type VMOperationKind int

// Kinds of operations.
const (
	VMNoOperation VMOperationKind = iota
	VMMove
	VMMaintain
)

// VMOperation is an operation on one VM.
type VMOperation struct {
	Kind VMOperationKind
	VM   string
	// Pool goes with VMMove, Wave with VMMaintain.
	Pool string
	Wave int64
}

const (
	// listLag is how long the effect of a successful operation may take to show in the
	// list of VMs, which lags by up to 0.8 s; inDoubtListLag is the same for an
	// operation without a response, which may also be executed later.
	listLag        = 1200 * time.Millisecond
	inDoubtListLag = 2 * time.Second
	// operationBackoff is the delay after a failed operation.
	operationBackoff = 500 * time.Millisecond
)

// SetVMs applies the platform's list of VMs, requested at the time sent.
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
		s.resolveOperation(v, info, sent, now)
		if info.Pool != v.info.Pool || info.WorkerID != v.info.WorkerID {
			v.emptySince = time.Time{} // A new worker has not been idle yet.
		}
		v.info = info
	}
	for name := range s.vms {
		if !listed[name] {
			delete(s.vms, name)
		}
	}
	s.vmsListedAt = now
}

// resolveOperation ends an answered operation once a later list shows its effect, or
// shows that it had none: one that was executed before also succeeds, and then the
// worker keeps running.
func (s *Scheduler) resolveOperation(v *vm, listed fleet.VM, sent, now time.Time) {
	if v.operation == nil || v.answeredAt.IsZero() || !sent.After(v.answeredAt) {
		return
	}
	effective := listed.State != fleet.VMUp || listed.WorkerID != v.info.WorkerID
	lag := listLag
	if v.inDoubt {
		lag = inDoubtListLag
	}
	if !effective && now.Sub(v.answeredAt) < lag {
		return
	}
	if w := s.workerOf(v); w != nil {
		w.operationPending = false
		// The list lags: the next incarnation may have the same ID, and runs already.
		if effective && (v.operationOn == 0 || w.info.StartedAtMillis <= v.operationOn) {
			s.removeWorker(w, now, "its VM is moved or maintained")
		}
	}
	v.operation, v.inDoubt = nil, false
	v.drainFor, v.vacateFor = VMNoOperation, ""
}

// workerOf returns the worker that runs on the VM, or nil.
func (s *Scheduler) workerOf(v *vm) *worker {
	if v.info.WorkerID == "" {
		return nil
	}
	return s.workers[v.info.WorkerID]
}

// acceptsOperation reports whether the VM is up, has no operation pending, and had no
// recent one of the previous leader. Stored orders tell that, or else the age of the VM's
// worker: every operation starts a new incarnation.
func (s *Scheduler) acceptsOperation(v *vm, now time.Time) bool {
	if v.info.State != fleet.VMUp || v.operation != nil || now.Before(v.backoffUntil) {
		return false
	}
	if now.Sub(s.tookOverAt) >= s.cfg.PreviousLeaderOperationWindow {
		return true
	}
	if s.knowsPreviousOrder(v) {
		return s.freeOfPreviousOrder(v, now)
	}
	w := s.workerOf(v)
	if w == nil || w.info.StartedAtMillis == 0 {
		return false
	}
	age := time.Duration(now.UnixMilli()-w.info.StartedAtMillis) * time.Millisecond
	return age > s.cfg.PreviousLeaderOperationWindow+workerAgeMargin
}

// startOperation decides on an operation.
func (s *Scheduler) startOperation(v *vm, op VMOperation, now time.Time) {
	v.operation, v.operationAt, v.answeredAt, v.requested = &op, now, time.Time{}, false
	if w := s.workerOf(v); w != nil {
		w.operationPending, v.operationOn = true, w.info.StartedAtMillis
	}
	s.requestOperation(v, op)
	kind := "vm.move"
	reason := op.Pool
	if op.Kind == VMMaintain {
		kind, reason = "vm.maintain", ""
	}
	s.emit(Event{Kind: kind, ID: op.VM, Reason: reason, Worker: v.info.WorkerID})
}

// HandleVMOperation applies an operation's response.
func (s *Scheduler) HandleVMOperation(op VMOperation, err error, now time.Time) {
	v, known := s.vms[op.VM]
	if err == nil && op.Kind == VMMaintain {
		s.recordMaintenanceStart(op)
	}
	if !known || v.operation == nil || *v.operation != op {
		return
	}
	if err == nil {
		v.answeredAt = now
		return
	}
	s.emit(Event{Kind: "vm.order_failed", ID: op.VM, Reason: err.Error()})
	v.backoffUntil = now.Add(operationBackoff)
	if provider.OutcomeOf(err) == provider.Unknown {
		// It may have been executed: the list shows it, or it is sent again.
		v.answeredAt, v.inDoubt = now, true
		return
	}
	if provider.CodeOf(err) == provider.CodeFenced {
		s.fenced = true
	}
	v.operation = nil
	if w := s.workerOf(v); w != nil {
		w.operationPending = false
	}
	if op.Kind == VMMove || provider.CodeOf(err) == provider.CodeNotInWave {
		s.undrain(v)
	}
	if op.Kind == VMMaintain && provider.CodeOf(err) == provider.CodeInvalid {
		s.recordMaintenanceStart(op) // The VM was removed permanently.
	}
}

// drain keeps new tasks off the VM.
func (s *Scheduler) drain(v *vm, kind VMOperationKind, now time.Time) {
	v.drainFor, v.drainStartedAt = kind, now
	if w := s.workerOf(v); w != nil {
		w.cordoned = true
	}
}

func (s *Scheduler) undrain(v *vm) {
	v.drainFor, v.vacateFor = VMNoOperation, ""
	if w := s.workerOf(v); w != nil {
		w.cordoned = false
	}
}

// TakeVMOperations returns the operations decided since the last call.
func (s *Scheduler) TakeVMOperations() []VMOperation {
	out := s.vmOperations
	s.vmOperations = nil
	return out
}

// PlanVMs decides which VMs are maintained and which are moved.
func (s *Scheduler) PlanVMs(now time.Time) {
	if s.vmsListedAt.IsZero() {
		return
	}
	for _, v := range s.vms {
		s.withdrawUnstored(v, now)
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
			w.cordoned = v.drainFor != VMNoOperation || v.operation != nil
		}
	}
	s.planWaves(now)
	s.relocate(now)
	s.planPools(now)
}
