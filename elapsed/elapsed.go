// Package elapsed measures elapsed time by the wall clock and the monotonic
// clock. The monotonic clock stops while a VM is suspended, and the wall clock
// may be set; neither alone bounds how much time has passed.
package elapsed

import "time"

// Since returns the time from then to now by the wall clock and by the monotonic
// clock. Round(0) strips the monotonic reading.
func Since(now, then time.Time) (wall, monotonic time.Duration) {
	return now.Round(0).Sub(then.Round(0)), now.Sub(then)
}

// Max returns the larger of the two times: for checks that something is not older
// than a bound by either clock.
func Max(now, then time.Time) time.Duration {
	return max(Since(now, then))
}

// Min returns the smaller of the two times: for checks that a time has passed by
// both clocks.
func Min(now, then time.Time) time.Duration {
	return min(Since(now, then))
}
