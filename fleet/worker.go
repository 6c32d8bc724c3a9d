package fleet

// Worker is the registration of one incarnation of a worker.
type Worker struct {
	ID               string
	Address          string
	Pool             string
	AvailabilityZone string
	// VM is the VM that the worker runs on; empty if unreported.
	VM       string
	Labels   []string
	Capacity Resources
	Draining bool
	// StartedAtMillis distinguishes incarnations with the same ID.
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
