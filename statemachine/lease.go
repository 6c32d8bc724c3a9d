package statemachine

// MaintenanceLease is the lease whose holder executes waves.
const MaintenanceLease = "maintenance"

// Lease assigns a duty to one writer for a limited time. Its epoch fences
// records: those written under an older epoch are rejected.
type Lease struct {
	Name string `json:"name"`
	// Holder is the writer that holds the lease, or empty after a release.
	Holder string `json:"holder"`
	// Epoch counts the acquisitions, from 1.
	Epoch uint64 `json:"epoch"`
	// Renewals counts the renewals under the epoch.
	Renewals uint64 `json:"renewals"`
}

const (
	// KindLeaseAcquire is the kind of LeaseAcquire.
	KindLeaseAcquire Kind = "lease_acquire"
	// KindLeaseRenew is the kind of LeaseRenew.
	KindLeaseRenew Kind = "lease_renew"
	// KindLeaseRelease is the kind of LeaseRelease.
	KindLeaseRelease Kind = "lease_release"
)

// LeaseAcquire makes the writer the holder under the next epoch. It is rejected
// unless Expected is the current epoch, so that one of several candidates wins.
// The reducer reads no clock: the writer has waited until the lease expired.
type LeaseAcquire struct {
	Name     string `json:"name"`
	Expected uint64 `json:"expected"`
}

// Kind implements Command.
func (*LeaseAcquire) Kind() Kind { return KindLeaseAcquire }

func (c *LeaseAcquire) apply(next *State, ctx applyContext) *Rejection {
	current, _ := next.Leases.Get(c.Name)
	var epoch uint64
	if current != nil {
		epoch = current.Epoch
	}
	if epoch != c.Expected {
		return rejectf(ReasonEpoch, "lease %s is at epoch %d, not %d", c.Name, epoch, c.Expected)
	}
	next.Leases = next.Leases.Set(c.Name, &Lease{Name: c.Name, Holder: ctx.writer, Epoch: epoch + 1})
	return nil
}

// LeaseRenew extends the holder's lease. It is rejected for any other writer
// and under an older epoch.
type LeaseRenew struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

// Kind implements Command.
func (*LeaseRenew) Kind() Kind { return KindLeaseRenew }

func (c *LeaseRenew) apply(next *State, ctx applyContext) *Rejection {
	current, rejection := heldLease(next, c.Name, ctx.writer, c.Epoch)
	if rejection != nil {
		return rejection
	}
	renewed := *current
	renewed.Renewals++
	next.Leases = next.Leases.Set(c.Name, &renewed)
	return nil
}

// LeaseRelease ends the holder's lease, so that the next holder need not wait.
type LeaseRelease struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
}

// Kind implements Command.
func (*LeaseRelease) Kind() Kind { return KindLeaseRelease }

func (c *LeaseRelease) apply(next *State, ctx applyContext) *Rejection {
	current, rejection := heldLease(next, c.Name, ctx.writer, c.Epoch)
	if rejection != nil {
		return rejection
	}
	released := *current
	released.Holder = ""
	next.Leases = next.Leases.Set(c.Name, &released)
	return nil
}

// heldLease returns the lease if the writer holds it under the epoch.
func heldLease(s *State, name, writer string, epoch uint64) (*Lease, *Rejection) {
	lease, ok := s.Leases.Get(name)
	if !ok {
		return nil, rejectf(ReasonEpoch, "lease %s was never acquired", name)
	}
	if lease.Epoch != epoch || lease.Holder != writer {
		return nil, rejectf(ReasonEpoch, "%s does not hold lease %s at epoch %d", writer, name, epoch)
	}
	return lease, nil
}

// checkMaintenanceEpoch rejects a maintenance record that was not written under
// the current epoch of the maintenance lease.
func checkMaintenanceEpoch(s *State, writer string, epoch uint64) *Rejection {
	_, rejection := heldLease(s, MaintenanceLease, writer, epoch)
	return rejection
}

// leaseCommands are the commands that acquire, renew and release leases.
var leaseCommands = map[Kind]newCommand{
	KindLeaseAcquire: func() Command { return &LeaseAcquire{} },
	KindLeaseRenew:   func() Command { return &LeaseRenew{} },
	KindLeaseRelease: func() Command { return &LeaseRelease{} },
}
