package timeline

import "sync/atomic"

// Ring is a lock-free ring buffer of the latest events of a process.
type Ring struct {
	slots []atomic.Pointer[Event]
	next  atomic.Uint64
}

// NewRing returns a ring that keeps the given number of events.
func NewRing(size int) *Ring {
	return &Ring{slots: make([]atomic.Pointer[Event], size)}
}

// Add stores the event under the next number, overwriting the oldest one.
func (r *Ring) Add(e Event) {
	e.Seq = r.next.Add(1)
	r.slots[e.Seq%uint64(len(r.slots))].Store(&e)
}

// Events returns the retained events that pass the filter, oldest first.
func (r *Ring) Events(f Filter) []Event {
	var out []Event
	for i := range r.slots {
		if e := r.slots[i].Load(); e != nil && f.Matches(*e) {
			out = append(out, *e)
		}
	}
	return sortMonotonic(out)
}
