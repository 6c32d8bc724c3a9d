package fleet

// Resources is an amount of what a worker offers and a task needs.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"c,omitempty"`
	// MemMB is in megabytes.
	MemMB int64 `json:"m,omitempty"`
	// GPU counts whole accelerators.
	GPU int64 `json:"g,omitempty"`
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus returns r less o; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Fits reports whether o fits into r in every dimension that o needs.
func (r Resources) Fits(o Resources) bool {
	return (o.MilliCPU == 0 || o.MilliCPU <= r.MilliCPU) &&
		(o.MemMB == 0 || o.MemMB <= r.MemMB) &&
		(o.GPU == 0 || o.GPU <= r.GPU)
}

// WithinCap reports whether r stays within a cap whose zero amounts mean no
// limit.
func (r Resources) WithinCap(limit Resources) bool {
	return (limit.MilliCPU == 0 || r.MilliCPU <= limit.MilliCPU) &&
		(limit.MemMB == 0 || r.MemMB <= limit.MemMB) &&
		(limit.GPU == 0 || r.GPU <= limit.GPU)
}
