package statemachine

// Pool is a named set of VMs with a disruption budget.
type Pool struct {
	Name string `json:"name" validate:"required,max=64,excludesall=./"`
	// MaxUnavailable is the number of the pool's VMs that may be out of
	// service at once by maintenance and failures together.
	MaxUnavailable int `json:"max_unavailable" validate:"min=0"`
	// MinVMs is the number of VMs that moves must leave in the pool.
	MinVMs int `json:"min_vms,omitempty" validate:"min=0"`
	// Spare marks the pool that lends its VMs to others.
	Spare bool `json:"spare"`
	// Version counts the changes, from 1.
	Version uint64 `json:"version"`
}

// KindPoolSet is the kind of PoolSet.
const KindPoolSet Kind = "pool_set"

// PoolSet creates or changes a pool. It is rejected unless Expected is the
// pool's version, or 0 for a new one.
type PoolSet struct {
	Pool     Pool   `json:"pool"`
	Expected uint64 `json:"expected"`
}

// Kind implements Command.
func (*PoolSet) Kind() Kind { return KindPoolSet }

func (c *PoolSet) apply(next *State, _ applyContext) *Rejection {
	pool := c.Pool
	var version uint64
	if current, ok := next.Pools.Get(pool.Name); ok {
		version = current.Version
	}
	if c.Expected != version {
		return rejectf(ReasonVersion, "pool %s is at version %d, not %d", pool.Name, version, c.Expected)
	}
	if pool.MaxUnavailable < 0 {
		return rejectf(ReasonInvalid, "max_unavailable %d is below 0", pool.MaxUnavailable)
	}
	if pool.MinVMs < 0 {
		return rejectf(ReasonInvalid, "min_vms %d is below 0", pool.MinVMs)
	}
	pool.Version = version + 1
	next.Pools = next.Pools.Set(pool.Name, &pool)
	return nil
}
