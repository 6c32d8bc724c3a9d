package verdict

import "time"

// Attempt is a start that succeeded or whose failure its target reported.
type Attempt struct {
	Job    string
	Team   string
	Target string
	Failed bool
	At     time.Time
}
