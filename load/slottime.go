package load

import "time"

// step is the resolution of slot time. Demand is treated as constant within a
// step, so a step is short compared with a burst.
const step = 100 * time.Millisecond

// stepsPerSecond is the number of steps in a second.
const stepsPerSecond = int(time.Second / step)

// slotTime holds the slot time of each step of a run.
type slotTime map[int]time.Duration

// add adds an interval of slot time to the steps that it covers.
func (s slotTime) add(from, length time.Duration) {
	for length > 0 {
		index := int(from / step)
		part := min(length, time.Duration(index+1)*step-from)
		s[index] += part
		from += part
		length -= part
	}
}

// slots returns the mean number of slots in the step.
func (s slotTime) slots(index int) float64 {
	return s[index].Seconds() / step.Seconds()
}

// second returns the mean number of slots in the second of the run.
func (s slotTime) second(second int) float64 {
	sum := time.Duration(0)
	for i := range stepsPerSecond {
		sum += s[second*stepsPerSecond+i]
	}
	return sum.Seconds()
}
