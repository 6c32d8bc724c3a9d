package fleetentry

import "time"

// stallPeriod is for how long reads do not wait after a waiting one has missed
// records: on the store's bad days watches return nothing for a second.
const stallPeriod = 1200 * time.Millisecond

// stallDetector decides whether the next read of a stream waits for a record. A read
// whose wait timed out is followed by one that does not wait: records that only the
// second one returns show that the store's watches are stalled.
type stallDetector struct {
	checking     bool
	stalledUntil time.Time
}

// wait returns how long the next read waits, normally maxWait.
func (d *stallDetector) wait(now time.Time, maxWait time.Duration) time.Duration {
	if d.checking || now.Before(d.stalledUntil) {
		return 0
	}
	return maxWait
}

// observe records a successful read: how long it was to wait and whether it returned
// records.
func (d *stallDetector) observe(now time.Time, wait time.Duration, hasRecords bool) {
	if d.checking && wait == 0 && hasRecords {
		d.stalledUntil = now.Add(stallPeriod)
	}
	d.checking = wait > 0 && !hasRecords
}

// needsCheck reports whether the next read checks for missed records; it should
// follow at once.
func (d *stallDetector) needsCheck() bool { return d.checking }
