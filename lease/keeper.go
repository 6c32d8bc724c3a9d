package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// renewalsPerTTL is the number of renewals per time to live.
	renewalsPerTTL = 3
	// checksPerRenewal is the number of checks of the lease between renewals.
	checksPerRenewal = 2
)

// Log is the stream that stores the lease.
type Log interface {
	// State returns the latest state.
	State() *statemachine.State
	// Staleness returns the time since the state was last known to be current.
	Staleness() time.Duration
	// Propose writes a command and waits until it has been read back.
	Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error)
}

// Config holds the settings of a Keeper. All fields except Needed are
// required.
type Config struct {
	// Name is the lease's name.
	Name string
	// Self is the name of the writer that Log uses.
	Self string
	// TTL is the time after the last renewal after which others may take over.
	TTL       time.Duration
	Log       Log
	Stopwatch Stopwatch
	Clock     clockwork.Clock
	// Needed reports whether there is work for a holder. A lease that is not
	// needed is neither acquired nor renewed. Nil means always.
	Needed func() bool
}

// Keeper acquires, renews and watches one lease.
type Keeper struct {
	cfg         Config
	expiryWatch expiryWatch
	heldLease   atomic.Pointer[heldLease]
	// released is set once this process has released the lease for good.
	released atomic.Bool
}

// NewKeeper returns a keeper that does not hold the lease. Run starts it.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, expiryWatch: expiryWatch{ttl: cfg.TTL, maxObservationGap: cfg.TTL / renewalsPerTTL}}
}

// Epoch returns the epoch under which this process holds the lease. ok is
// false once the lease may have expired by either clock.
func (k *Keeper) Epoch() (epoch uint64, ok bool) {
	held := k.heldLease.Load()
	if !held.valid(k.cfg.Stopwatch.Read(), k.cfg.TTL) {
		return 0, false
	}
	return held.epoch, true
}

// Run acquires and renews the lease until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := k.cfg.Clock.NewTicker(k.checkInterval())
	defer ticker.Stop()
	for {
		k.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// Release releases the lease for good, so that the next holder need not wait.
func (k *Keeper) Release(ctx context.Context) error {
	k.released.Store(true)
	return k.releaseHeld(ctx)
}

func (k *Keeper) releaseHeld(ctx context.Context) error {
	held := k.heldLease.Swap(nil)
	if held == nil {
		return nil
	}
	_, err := k.cfg.Log.Propose(ctx, &statemachine.LeaseRelease{Name: k.cfg.Name, Epoch: held.epoch})
	return err
}

// checkInterval is the time between two checks of the lease.
func (k *Keeper) checkInterval() time.Duration {
	return k.cfg.TTL / (renewalsPerTTL * checksPerRenewal)
}

// step renews a held lease, or else checks whether the lease has expired.
func (k *Keeper) step(ctx context.Context) {
	held := k.heldLease.Load()
	needed := !k.released.Load() && (k.cfg.Needed == nil || k.cfg.Needed())
	switch {
	case held != nil && needed:
		k.renew(ctx, held)
	case held != nil:
		_ = k.releaseHeld(ctx)
	case needed:
		k.tryTakeover(ctx)
	}
}

// renew renews the held lease. A holder that was paused beyond the expiry of
// its lease retains it only if no other process has taken over.
func (k *Keeper) renew(ctx context.Context, held *heldLease) {
	if lease := k.lease(); lease.Epoch != held.epoch {
		k.heldLease.CompareAndSwap(held, nil)
		return
	}
	at := k.cfg.Stopwatch.Read()
	if !held.renewalDue(at, k.cfg.TTL/renewalsPerTTL) {
		return
	}
	result, err := k.propose(ctx, &statemachine.LeaseRenew{Name: k.cfg.Name, Epoch: held.epoch})
	if err != nil {
		return
	}
	if result.Rejection != nil {
		k.heldLease.CompareAndSwap(held, nil)
		return
	}
	k.heldLease.CompareAndSwap(held, &heldLease{epoch: held.epoch, renewedAt: at})
}

// tryTakeover observes another holder's lease and acquires it once it expired.
func (k *Keeper) tryTakeover(ctx context.Context) {
	at := k.cfg.Stopwatch.Read()
	lease := k.lease()
	k.expiryWatch.observe(lease, at)
	if !k.expiryWatch.expired(lease, at, k.cfg.Log.Staleness()) {
		return
	}
	result, err := k.propose(ctx, &statemachine.LeaseAcquire{Name: k.cfg.Name, Expected: lease.Epoch})
	if err != nil || result.Rejection != nil {
		return
	}
	k.heldLease.Store(&heldLease{epoch: lease.Epoch + 1, renewedAt: at})
}

func (k *Keeper) lease() statemachine.Lease {
	lease, ok := k.cfg.Log.State().Leases.Get(k.cfg.Name)
	if !ok {
		return statemachine.Lease{Name: k.cfg.Name}
	}
	return *lease
}

// propose limits the wait for the log, so that a lost reply leaves time for
// another renewal.
func (k *Keeper) propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.TTL/renewalsPerTTL)
	defer cancel()
	return k.cfg.Log.Propose(ctx, command)
}
