package sizing

import "time"

const (
	// windowLength is the time over which demand is averaged. Demand that
	// rotates between queues within seconds averages out in it.
	windowLength = time.Minute
	// windowCount is the number of past windows retained: a drain, a restart
	// and a return to service take up to that many.
	windowCount = 10
)

// windows holds the mean demand of one pool over the latest windows.
type windows struct {
	// sum is the demand of the current window, in slot-seconds.
	sum     float64
	covered time.Duration
	past    []float64
}

// add adds a demand, in slots, that lasted for the duration.
func (w *windows) add(demand float64, duration time.Duration) {
	w.sum += demand * duration.Seconds()
	w.covered += duration
	if w.covered < windowLength {
		return
	}
	w.past = append(w.past, w.mean())
	w.past = w.past[max(0, len(w.past)-windowCount):]
	w.sum, w.covered = 0, 0
}

func (w *windows) mean() float64 {
	if w.covered == 0 {
		return 0
	}
	return w.sum / w.covered.Seconds()
}

// highest returns the highest mean of the past windows, or the mean of the
// current one if there is no past one.
func (w *windows) highest() float64 {
	if len(w.past) == 0 {
		return w.mean()
	}
	highest := 0.0
	for _, mean := range w.past {
		highest = max(highest, mean)
	}
	return highest
}
