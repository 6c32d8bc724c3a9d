package entry

import "sync/atomic"

// readiness tells the load balancer whether this entry accepts requests.
type readiness struct {
	control *control
	self    string
	// shardSets are the sharded streams, which must have been read once.
	shardSets []*shardSet
	stopping  atomic.Bool
}

// notReadyReason returns why the entry is not ready, or "".
func (r *readiness) notReadyReason() string {
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
	for _, set := range r.shardSets {
		if !set.hasReadAll() {
			return "the " + set.prefix + " have not been read yet"
		}
	}
	return ""
}

// mayServe reports whether this entry is a member, or could not join because
// the log is unavailable and works on allotments lent by others.
func (r *readiness) mayServe() bool {
	switch membershipStatusOf(r.control.State(), r.self) {
	case statusMember:
		return true
	case statusNotJoined:
		return !r.control.Readable() && r.control.Identity() != ""
	default:
		return false
	}
}
