package timeline

// Cursor distinguishes new events from those seen before. The zero Cursor has
// seen none.
type Cursor struct {
	// lastSeq is the highest event number seen, by entry.
	lastSeq map[string]uint64
}

// Next returns the events that earlier calls have not returned, in their
// order. Events overwritten in a ring between two calls are missed.
func (c *Cursor) Next(events []Event) []Event {
	if c.lastSeq == nil {
		c.lastSeq = make(map[string]uint64)
	}
	var out []Event
	for _, e := range events {
		if e.Seq > c.lastSeq[e.Entry] {
			c.lastSeq[e.Entry] = e.Seq
			out = append(out, e)
		}
	}
	return out
}
