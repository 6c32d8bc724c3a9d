package fleet

// Resources are the amounts that a worker offers or a task requests.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"c,omitempty"`
	// MemMB is in megabytes.
	MemMB int64 `json:"m,omitempty"`
	// GPU is in whole accelerators.
	GPU int64 `json:"g,omitempty"`
}

// Plus returns r plus o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU + o.MilliCPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus returns r minus o; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU - o.MilliCPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Fits reports whether o fits into r in every dimension that o requests.
func (r Resources) Fits(o Resources) bool {
	return (o.MilliCPU == 0 || o.MilliCPU <= r.MilliCPU) &&
		(o.MemMB == 0 || o.MemMB <= r.MemMB) &&
		(o.GPU == 0 || o.GPU <= r.GPU)
}

// WithinCap reports whether r is within the limit, whose zero amounts mean
// unlimited.
func (r Resources) WithinCap(limit Resources) bool {
	return (limit.MilliCPU == 0 || r.MilliCPU <= limit.MilliCPU) &&
		(limit.MemMB == 0 || r.MemMB <= limit.MemMB) &&
		(limit.GPU == 0 || r.GPU <= limit.GPU)
}
