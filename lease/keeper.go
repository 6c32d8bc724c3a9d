package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	// renewalsPerTTL is the number of renewals in one time to live.
	renewalsPerTTL = 3
	// looksPerRenewal is the number of looks at the lease between renewals.
	looksPerRenewal = 2
)

// Log is the stream that the lease is kept in.
type Log interface {
	// State returns the latest state.
	State() *statemachine.State
	// Staleness returns the time since the state is known to have been current.
	Staleness() time.Duration
	// Propose writes a command and waits until it has been read back.
	Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error)
}

// Config holds what a Keeper works with. All members but Wanted are
// required.
type Config struct {
	// Name is the lease's name.
	Name string
	// Self is the writer under which Log writes.
	Self string
	// TTL is the time after the last renewal at which others take over.
	TTL       time.Duration
	Log       Log
	Stopwatch Stopwatch
	Clock     clockwork.Clock
	// Needed reports whether there is work for a holder. A lease that is not
	// wanted is neither taken nor kept. Nil means always.
	Needed func() bool
}

// Keeper acquires, renews and watches one lease.
type Keeper struct {
	cfg    Config
	watch  watch
	tenure atomic.Pointer[tenure]
	// released is set once this process wants the lease no more.
	released atomic.Bool
}

// NewKeeper returns a keeper that does not hold the lease. Run starts it.
func NewKeeper(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, watch: watch{ttl: cfg.TTL, maxGap: cfg.TTL / renewalsPerTTL}}
}

// Epoch returns the epoch under which this process holds the lease. ok is
// false once the lease may have run out by either clock.
func (k *Keeper) Epoch() (epoch uint64, ok bool) {
	held := k.tenure.Load()
	if !held.valid(k.cfg.Stopwatch.Read(), k.cfg.TTL) {
		return 0, false
	}
	return held.epoch, true
}

// Run keeps the lease until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := k.cfg.Clock.NewTicker(k.interval())
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

// Release gives the lease up for good, so that the next holder need not wait.
func (k *Keeper) Release(ctx context.Context) error {
	k.released.Store(true)
	return k.giveUp(ctx)
}

func (k *Keeper) giveUp(ctx context.Context) error {
	held := k.tenure.Swap(nil)
	if held == nil {
		return nil
	}
	_, err := k.cfg.Log.Propose(ctx, &statemachine.LeaseRelease{Name: k.cfg.Name, Epoch: held.epoch})
	return err
}

// interval is the time between two looks at the lease.
func (k *Keeper) interval() time.Duration {
	return k.cfg.TTL / (renewalsPerTTL * looksPerRenewal)
}

// step renews a lease that is held, and otherwise looks whether it lapsed.
func (k *Keeper) step(ctx context.Context) {
	held := k.tenure.Load()
	wanted := !k.released.Load() && (k.cfg.Needed == nil || k.cfg.Needed())
	switch {
	case held != nil && wanted:
		k.renew(ctx, held)
	case held != nil:
		_ = k.giveUp(ctx)
	case wanted:
		k.contend(ctx)
	}
}

// renew proves the hold again. An old holder that was paused beyond the end of
// its lease keeps it only if nobody has taken over.
func (k *Keeper) renew(ctx context.Context, held *tenure) {
	if lease := k.lease(); lease.Epoch != held.epoch {
		k.tenure.CompareAndSwap(held, nil)
		return
	}
	at := k.cfg.Stopwatch.Read()
	if !held.due(at, k.cfg.TTL/renewalsPerTTL) {
		return
	}
	result, err := k.propose(ctx, &statemachine.LeaseRenew{Name: k.cfg.Name, Epoch: held.epoch})
	if err != nil {
		return
	}
	if result.Rejection != nil {
		k.tenure.CompareAndSwap(held, nil)
		return
	}
	k.tenure.CompareAndSwap(held, &tenure{epoch: held.epoch, from: at})
}

// contend watches another holder's lease and takes it over once it lapsed.
func (k *Keeper) contend(ctx context.Context) {
	at := k.cfg.Stopwatch.Read()
	lease := k.lease()
	k.watch.look(lease, at)
	if !k.watch.lapsed(lease, at, k.cfg.Log.Staleness()) {
		return
	}
	result, err := k.propose(ctx, &statemachine.LeaseAcquire{Name: k.cfg.Name, Expected: lease.Epoch})
	if err != nil || result.Rejection != nil {
		return
	}
	k.tenure.Store(&tenure{epoch: lease.Epoch + 1, from: at})
}

func (k *Keeper) lease() statemachine.Lease {
	lease, ok := k.cfg.Log.State().Leases.Get(k.cfg.Name)
	if !ok {
		return statemachine.Lease{Name: k.cfg.Name}
	}
	return *lease
}

// propose bounds the wait for the log, so that a lost reply leaves time for
// another renewal.
func (k *Keeper) propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.TTL/renewalsPerTTL)
	defer cancel()
	return k.cfg.Log.Propose(ctx, command)
}
