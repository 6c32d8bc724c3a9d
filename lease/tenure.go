package lease

import "time"

// tenure is the own hold of a lease. It is immutable.
type tenure struct {
	epoch uint64
	// from is read before the latest record that proved the hold was sent.
	from Reading
}

// valid reports whether the lease has not run out by either clock.
func (t *tenure) valid(at Reading, ttl time.Duration) bool {
	return t != nil && at.longest(t.from) < ttl
}

// due reports whether the lease is to be renewed.
func (t *tenure) due(at Reading, interval time.Duration) bool {
	return at.longest(t.from) >= interval
}
