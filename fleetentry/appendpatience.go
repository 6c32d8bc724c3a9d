package fleetentry

import (
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// leastPatience is how long an append may take at least: the store answers in
	// 4 ms as a rule.
	leastPatience = 250 * time.Millisecond
	// mostPatience is how long it may take at most: the store is up to sixty times
	// slower on bad days and does one append of a stream after the other, so a
	// second try too early only makes all wait longer.
	mostPatience = 2 * time.Second
	// patienceFactor is how many times the last append the next one may take.
	patienceFactor = 4
)

// appendPatience is how long to wait for an append, by what the last ones took. Lost
// answers are tried again soon, and a slow store is not flooded.
type appendPatience struct{ current time.Duration }

// timeout returns how long the next append may take.
func (p *appendPatience) timeout() time.Duration { return max(p.current, leastPatience) }

// answered notes how long an append took.
func (p *appendPatience) answered(took time.Duration) {
	p.current = min(max(patienceFactor*took, p.current/2, leastPatience), mostPatience)
}

// silent notes that an append got no answer in time.
func (p *appendPatience) silent() { p.current = min(2*p.timeout(), mostPatience) }

// learn notes the outcome of an append. Refusals tell nothing.
func (p *appendPatience) learn(took time.Duration, err error) {
	switch {
	case err == nil:
		p.answered(took)
	case provider.OutcomeOf(err) == provider.Unknown:
		p.silent()
	}
}
