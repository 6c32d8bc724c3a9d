package ledger

// StreamSet is a set of streams, by their index.
type StreamSet uint32

// With returns the set with the stream added.
func (s StreamSet) With(index int) StreamSet { return s | 1<<index }

// Has reports whether the stream is in the set.
func (s StreamSet) Has(index int) bool { return s&(1<<index) != 0 }

// Only reports whether the stream is the one member of the set.
func (s StreamSet) Only(index int) bool { return s == 1<<index }
