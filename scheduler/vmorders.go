package scheduler

import (
	"time"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/ledger"
)

const (
	// MaxVMOrderWait is how long an order for a VM may wait to be stored, and again to be
	// sent once it is.
	MaxVMOrderWait = time.Second
	// VMOrderTimeout bounds a request to the VM interface.
	VMOrderTimeout = 1500 * time.Millisecond
)

// requestOperation hands out the VM operation, after its order has been stored if the
// policy asks for that.
//
// It answers the loss of a leader while demand changes: the next leader must not order a
// VM within seconds of the one before. Without a record of the orders it has to leave
// alone every VM that could have had one, such as all that are switched off, while pools
// lack VMs.
func (s *Scheduler) requestOperation(v *vm, op VMOperation) {
	if !s.cfg.Policies.StoredVMOrders {
		v.requested = true
		s.vmOperations = append(s.vmOperations, op)
		return
	}
	s.batch.Records = append(s.batch.Records, ledger.VMOrderRecord(op.VM, ledger.VMOrder{FencingToken: s.cfg.FencingToken}))
	s.batch.pendingOperations = append(s.batch.pendingOperations, op)
}

// releaseOperations hands out operations whose orders are stored, if they are still valid.
func (s *Scheduler) releaseOperations(operations []VMOperation, now time.Time) {
	for _, op := range operations {
		v, known := s.vms[op.VM]
		if !known || v.operation == nil || *v.operation != op || v.requested {
			continue
		}
		if now.Sub(v.operationAt) > MaxVMOrderWait || !s.operationStillValid(v, op, now) {
			s.withdrawOperation(v, op)
			continue
		}
		v.requested = true
		s.vmOperations = append(s.vmOperations, op)
	}
}

// withdrawUnstored withdraws an operation whose order has not been stored in time. The
// store may refuse another record of its batch for good, and nothing would tell.
func (s *Scheduler) withdrawUnstored(v *vm, now time.Time) {
	if v.operation != nil && !v.requested && now.Sub(v.operationAt) > 2*MaxVMOrderWait {
		s.withdrawOperation(v, *v.operation)
	}
}

// operationStillValid reports whether the VM is empty, or the operation is maintenance
// within the disruption budgets of what runs there.
func (s *Scheduler) operationStillValid(v *vm, op VMOperation, now time.Time) bool {
	w := s.workerOf(v)
	if w == nil || len(w.tasks) == 0 {
		return true
	}
	return op.Kind == VMMaintain && s.withinDisruptionBudgets(w, now)
}

// withdrawOperation takes back an operation that has not been handed out.
func (s *Scheduler) withdrawOperation(v *vm, op VMOperation) {
	s.emit(Event{Kind: "vm.order_withdrawn", ID: op.VM, Reason: "its order was stored too late, or the VM has runs that it must not end"})
	v.operation = nil
	if w := s.workerOf(v); w != nil {
		w.operationPending = false
	}
	if op.Kind == VMMove {
		s.undrain(v)
	}
}

// HasVMOperations reports whether TakeVMOperations would return any.
func (s *Scheduler) HasVMOperations() bool { return len(s.vmOperations) > 0 }

// RestoreVMOrders tells a new leader when the newest orders of earlier leaders were read, by
// VM; a zero time is that of an order of unknown age. Without it, the orders of earlier
// leaders are not known.
func (s *Scheduler) RestoreVMOrders(readAt map[string]time.Time) { s.previousOrders = readAt }

// knowsPreviousOrder reports whether the stored orders tell whether an earlier leader can
// have sent the VM an order lately.
func (s *Scheduler) knowsPreviousOrder(v *vm) bool {
	if s.previousOrders == nil {
		return false
	}
	readAt, ordered := s.previousOrders[v.info.Name]
	return !ordered || !readAt.IsZero()
}

// freeOfPreviousOrder reports whether no earlier leader can have sent the VM an order
// lately. An order is read after it was stored, so its age is at least that of the read.
func (s *Scheduler) freeOfPreviousOrder(v *vm, now time.Time) bool {
	readAt, ordered := s.previousOrders[v.info.Name]
	return !ordered || elapsed.Min(now, readAt) > s.cfg.PreviousLeaderOperationWindow+MaxVMOrderWait+VMOrderTimeout
}
