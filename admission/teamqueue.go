package admission

import "slices"

// teamQueue holds the waiting requests of one team in order of arrival.
type teamQueue struct {
	name    string
	waiters []*Waiter
	// refused counts the requests refused since the last call of Loads.
	refused int
	// refusedSlots is the smoothed number of slots that refused requests would
	// have used.
	refusedSlots float64
}

func (t *teamQueue) remove(w *Waiter) {
	if i := slices.Index(t.waiters, w); i >= 0 {
		t.waiters = slices.Delete(t.waiters, i, i+1)
	}
}
