package timeline

// Cursor tells new events from those seen before. The zero Cursor has seen
// none.
type Cursor struct {
	// last is the highest event number seen, by entry.
	last map[string]uint64
}

// Next returns the events that earlier calls have not returned, in their
// order. Events that fell out of a ring between two calls are missed.
func (c *Cursor) Next(events []Event) []Event {
	if c.last == nil {
		c.last = make(map[string]uint64)
	}
	var out []Event
	for _, e := range events {
		if e.Seq > c.last[e.Entry] {
			c.last[e.Entry] = e.Seq
			out = append(out, e)
		}
	}
	return out
}
