package verdict

import "time"

// Attempt is a start that ended in success or in a failure that its target
// reported.
type Attempt struct {
	Job    string
	Team   string
	Target string
	Failed bool
	At     time.Time
}
