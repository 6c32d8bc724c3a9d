package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// LeaseTTL is the time to live of a slot lease.
	LeaseTTL = time.Second
	// leaseMargin is reserved at the end of a lease for sending the start
	// request to the VM.
	leaseMargin = 250 * time.Millisecond
	// maxLeaseIdle is the time after which an unused lease is returned.
	maxLeaseIdle = 300 * time.Millisecond
	// maxAcquireAttempts bounds the VMs tried in one search.
	maxAcquireAttempts = 4
	// acquireTimeout bounds one slot request.
	acquireTimeout = 250 * time.Millisecond
)

// ErrNoSlot means that no usable target granted a slot. Nothing was started.
var ErrNoSlot = errors.New("no usable target has a free slot")

// view is an immutable snapshot of the targets.
type view struct {
	pools map[string]*poolView
	byID  map[string]*Target
	// byAddress looks up the target of a call.
	byAddress map[string]*Target
}

type poolView struct {
	targets []*Target
	idle    *stack
}

// Placer acquires slots for tasks. Acquire and Release take no lock.
type Placer struct {
	holder  string
	workers provider.Workers
	clock   clockwork.Clock
	mu      sync.Mutex
	view    atomic.Pointer[view]
}

// New returns a placer without targets. Holder is this entry's incarnation.
func New(holder string, workers provider.Workers, clock clockwork.Clock) *Placer {
	p := &Placer{holder: holder, workers: workers, clock: clock}
	p.view.Store(&view{pools: map[string]*poolView{}, byID: map[string]*Target{}})
	return p
}

// SetFleet updates the targets from the control state.
func (p *Placer) SetFleet(state *statemachine.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.view.Load()
	next := &view{pools: make(map[string]*poolView), byID: make(map[string]*Target, state.VMs.Len()), byAddress: make(map[string]*Target, state.VMs.Len())}
	for id, vm := range state.VMs.All() {
		target := targetFor(old.byID[id], vm)
		target.cordoned.Store(!vm.Available())
		if target.confirmedUS.Load() == 0 {
			target.confirm(p.clock.Now())
		}
		next.byID[id] = target
		next.byAddress[target.Address] = target
		pool := next.pools[vm.Pool]
		if pool == nil {
			pool = &poolView{idle: &stack{}}
			if before := old.pools[vm.Pool]; before != nil {
				pool.idle = before.idle
			}
			next.pools[vm.Pool] = pool
		}
		pool.targets = append(pool.targets, target)
	}
	p.view.Store(next)
}

// targetFor retains the target's health if the VM is the same. A VM that has
// moved gets a new target, which invalidates leases for the old pool.
func targetFor(old *Target, vm *statemachine.VM) *Target {
	if old != nil && old.Address == vm.Address && old.Pool == vm.Pool {
		return old
	}
	if old != nil {
		old.draining.Store(true)
	}
	target := &Target{ID: vm.ID, Address: vm.Address, Pool: vm.Pool, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack, Slots: vm.Slots}
	target.free.Store(int64(vm.Slots))
	return target
}

// HandleVMList updates the targets' health from the platform's VM list.
func (p *Placer) HandleVMList(list []provider.VMInfo, at time.Time) {
	byID := p.view.Load().byID
	for _, info := range list {
		target := byID[info.ID]
		if target == nil {
			continue
		}
		target.draining.Store(info.State != provider.VMActive)
		if info.State == provider.VMActive {
			target.confirm(at)
		}
	}
}

// Target returns the target with the ID, or nil.
func (p *Placer) Target(id string) *Target {
	return p.view.Load().byID[id]
}

// Acquire returns a valid slot lease on a usable target of one of the pools. It
// prefers leases already held and otherwise requests one from a few targets. It
// fails with ErrNoSlot if none grants a slot.
func (p *Placer) Acquire(ctx context.Context, pools []string, avoid string) (*LeasedSlot, error) {
	v := p.view.Load()
	offset := rand.IntN(max(1, len(pools)))
	for i := range pools {
		pool := v.pools[pools[(offset+i)%len(pools)]]
		if pool == nil {
			continue
		}
		if slot := p.popValid(pool.idle, avoid); slot != nil {
			return slot, nil
		}
	}
	for i := range pools {
		pool := v.pools[pools[(offset+i)%len(pools)]]
		if pool == nil {
			continue
		}
		slot, err := p.acquireFromPool(ctx, pool, avoid)
		if err == nil {
			return slot, nil
		}
	}
	return nil, ErrNoSlot
}

// popValid returns an idle lease that is valid and not on the avoided target.
func (p *Placer) popValid(idle *stack, avoid string) *LeasedSlot {
	now := p.clock.Now()
	for {
		slot := idle.pop()
		if slot == nil {
			return nil
		}
		if slot.Target.ID != avoid && slot.valid(now) {
			return slot
		}
	}
}

// acquireFromPool requests a slot from a few randomly picked targets.
func (p *Placer) acquireFromPool(ctx context.Context, pool *poolView, avoid string) (*LeasedSlot, error) {
	for range maxAcquireAttempts {
		target := p.pick(pool, avoid)
		if target == nil {
			return nil, ErrNoSlot
		}
		slot, err := p.acquireFrom(ctx, target)
		if err == nil {
			return slot, nil
		}
	}
	return nil, ErrNoSlot
}

// pick returns the better of two usable targets at random positions in the
// pool, or nil if none is usable.
func (p *Placer) pick(pool *poolView, avoid string) *Target {
	now := p.clock.Now()
	avoided := p.Target(avoid)
	first := p.usableAfter(pool, rand.IntN(len(pool.targets)), avoid, now)
	if first == nil {
		return nil
	}
	second := p.usableAfter(pool, rand.IntN(len(pool.targets)), avoid, now)
	if second != nil && second.betterThan(first, avoided) {
		return second
	}
	return first
}

// usableAfter returns the first target at or after start that may be sent a
// slot request, or nil.
func (p *Placer) usableAfter(pool *poolView, start int, avoid string, now time.Time) *Target {
	for i := range pool.targets {
		target := pool.targets[(start+i)%len(pool.targets)]
		if target.ID != avoid && target.usable(now) && !target.recentlyFull(now) {
			return target
		}
	}
	return nil
}

func (p *Placer) acquireFrom(ctx context.Context, target *Target) (*LeasedSlot, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	sent := p.clock.Now()
	lease, err := p.workers.AcquireSlot(ctx, target.Address, provider.SlotRequest{Holder: p.holder, TTL: LeaseTTL})
	if err != nil {
		p.recordRefusal(target, err)
		return nil, err
	}
	target.free.Store(int64(lease.FreeSlots))
	return newLeasedSlot(target, lease, sent), nil
}

// recordRefusal updates the target's state after a failed slot request.
func (p *Placer) recordRefusal(target *Target, err error) {
	target.fullUS.Store(p.clock.Now().UnixMicro())
	target.free.Store(0)
	if provider.CodeOf(err) == provider.CodeTimeout || provider.CodeOf(err) == provider.CodeUnreachable {
		p.recordFailure(target)
	}
	if provider.CodeOf(err) == provider.CodeDraining {
		target.draining.Store(true)
	}
}

// Release keeps the lease for the next task while it is valid.
func (p *Placer) Release(slot *LeasedSlot) {
	now := p.clock.Now()
	if !slot.valid(now) {
		return
	}
	if pool := p.view.Load().pools[slot.Target.Pool]; pool != nil {
		pool.idle.push(slot)
	}
}

// ReturnLease returns the lease to its target, for any entry to take. It does
// not wait for the target.
func (p *Placer) ReturnLease(slot *LeasedSlot) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
		defer cancel()
		_ = p.workers.ReleaseSlot(ctx, slot.Target.Address, slot.LeaseID)
	}()
}

// Capacity returns the number of slots of the pools' usable targets.
func (p *Placer) Capacity(pools []string) int {
	now := p.clock.Now()
	v := p.view.Load()
	slots := 0
	for _, name := range pools {
		pool := v.pools[name]
		if pool == nil {
			continue
		}
		for _, target := range pool.targets {
			if target.usable(now) {
				slots += target.Slots
			}
		}
	}
	return slots
}

// MarkDraining keeps new work away from the target until the VM list reports it
// as live again.
func (p *Placer) MarkDraining(slot *LeasedSlot) {
	slot.Target.draining.Store(true)
}
