package entry

import "sync/atomic"

// readiness tells the balancer whether this entry takes requests.
type readiness struct {
	control  *control
	self     string
	stopping atomic.Bool
}

// reason returns why the entry is not ready, or "".
func (r *readiness) reason() string {
	if r.stopping.Load() {
		return "stopping"
	}
	if fault := r.control.Fault(); fault != nil {
		return fault.Error()
	}
	if _, ok := r.control.State().Member(r.self); !ok {
		return "not joined"
	}
	if !r.control.Current() {
		return "configuration not current"
	}
	return ""
}
