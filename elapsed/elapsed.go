// Package elapsed measures time by the wall clock and the monotonic clock at
// once. The monotonic clock stops while a VM is suspended, and the wall clock may
// be set; neither alone bounds how much time has passed.
package elapsed

import "time"

// Since returns the time from then to now by the wall clock and by the monotonic
// clock. Round strips the monotonic reading.
func Since(now, then time.Time) (wall, monotonic time.Duration) {
	return now.Round(0).Sub(then.Round(0)), now.Sub(then)
}

// Max returns the larger of the two times: for what must not be older than a
// bound by any clock.
func Max(now, then time.Time) time.Duration {
	return max(Since(now, then))
}

// Min returns the smaller of the two times: for what must be over by both
// clocks.
func Min(now, then time.Time) time.Duration {
	return min(Since(now, then))
}
