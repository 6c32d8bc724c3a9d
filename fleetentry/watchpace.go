package fleetentry

import "time"

// deafSpan is for how long reads do not wait after a waiting one has missed
// records: on the store's bad days watches hear of nothing for a second.
const deafSpan = 1200 * time.Millisecond

// watchPace decides whether the next read of a stream waits for a record. A read
// that waited in vain is followed by one that does not wait: records that only
// the second one brings show that the store's watches are deaf at the moment.
type watchPace struct {
	doubtful  bool
	deafUntil time.Time
}

// wait returns how long the next read waits, most if nothing speaks against it.
func (p *watchPace) wait(now time.Time, most time.Duration) time.Duration {
	if p.doubtful || now.Before(p.deafUntil) {
		return 0
	}
	return most
}

// took takes in a successful read: how long it was to wait and whether it brought
// records.
func (p *watchPace) took(now time.Time, waited time.Duration, brought bool) {
	if p.doubtful && waited == 0 && brought {
		p.deafUntil = now.Add(deafSpan)
	}
	p.doubtful = waited > 0 && !brought
}

// checks reports whether the next read makes sure that nothing was missed; it
// should follow at once.
func (p *watchPace) checks() bool { return p.doubtful }
