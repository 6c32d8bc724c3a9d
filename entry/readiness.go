package entry

import "sync/atomic"

// readiness tells the balancer whether this entry takes requests.
type readiness struct {
	control *control
	self    string
	// divided are the streams of divided work, which must have been read once.
	divided  []*shardSet
	stopping atomic.Bool
}

// reason returns why the entry is not ready, or "".
func (r *readiness) reason() string {
	if r.stopping.Load() {
		return "stopping"
	}
	if fault := r.control.FatalError(); fault != nil {
		return fault.Error()
	}
	if !r.mayServe() {
		return "not joined"
	}
	if !r.control.Current() {
		return "configuration not current"
	}
	if !r.control.Readable() {
		return ""
	}
	for _, set := range r.divided {
		if !set.everRead() {
			return "the " + set.prefix + " have not been read yet"
		}
	}
	return ""
}

// mayServe reports whether this entry is a member, or could not join because
// the log is down and works on what others lend.
func (r *readiness) mayServe() bool {
	switch standingOf(r.control.State(), r.self) {
	case standingMember:
		return true
	case standingNew:
		return !r.control.Readable() && r.control.Identity() != ""
	default:
		return false
	}
}
