package fleet

// Worker is what one life of a worker reports about itself.
type Worker struct {
	ID               string
	Address          string
	Pool             string
	AvailabilityZone string
	// VM is the machine on which the worker lives; empty if it did not say.
	VM       string
	Labels   []string
	Capacity Resources
	Draining bool
	// StartedAtMillis tells lives under one ID apart.
	StartedAtMillis int64
}

// Rack returns the failure domain of the worker: the last of its labels.
func (w *Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker carries the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
