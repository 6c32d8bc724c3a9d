package quota

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/bothclocks"
	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	clearInterval = 250 * time.Millisecond
	// clearStagger is the head start of each member over the next one, so that
	// usually one of them asks the VMs.
	clearStagger = 2 * time.Second
)

// Reclaimer returns the allotments of removed entries to the pool.
type Reclaimer struct {
	self     string
	proposer Proposer
	peers    Peers
	surveyor *Surveyor
	bounds   ReclaimBounds
	clock    clockwork.Clock
	logger   hclog.Logger
	removed  map[string]*clearing
}

// clearing is what is known of one removed entry. All of it stays true, unless
// it rests on an operator's word and the entry answers after that.
type clearing struct {
	applied map[string]bool
	// excluded is when the entry was first known to find no majority, or to be
	// gone by an operator's word.
	excluded time.Time
	vms      map[string]VMEvidence
}

// restart forgets what was counted from the exclusion.
func (c *clearing) restart() {
	c.excluded = time.Time{}
	clear(c.vms)
}

// NewReclaimer returns the clearer of the entry incarnation.
func NewReclaimer(self string, proposer Proposer, peers Peers, surveyor *Surveyor, bounds ReclaimBounds, clock clockwork.Clock, logger hclog.Logger) *Reclaimer {
	return &Reclaimer{
		self: self, proposer: proposer, peers: peers, surveyor: surveyor, bounds: bounds, clock: clock, logger: logger,
		removed: make(map[string]*clearing),
	}
}

// Run clears removed entries until the context ends.
func (c *Reclaimer) Run(ctx context.Context) {
	periodic.Run(ctx, c.clock, clearInterval, c.once)
}

func (c *Reclaimer) once(ctx context.Context) {
	state := c.proposer.State()
	if _, ok := state.Member(c.self); !ok {
		return
	}
	for incarnation := range c.removed {
		if _, ok := state.Entries.Get(incarnation); !ok {
			delete(c.removed, incarnation)
		}
	}
	for _, entry := range state.Entries.All() {
		if entry.State == statemachine.EntryRemoved {
			c.advance(ctx, state, entry)
		}
	}
}

// advance brings the clearing of one entry as far as it goes now.
func (c *Reclaimer) advance(ctx context.Context, state *statemachine.State, entry *statemachine.Entry) {
	known := c.removed[entry.Incarnation]
	if known == nil {
		known = &clearing{applied: make(map[string]bool), vms: make(map[string]VMEvidence)}
		c.removed[entry.Incarnation] = known
	}
	c.note(known, entry)
	facts := c.facts(state, known, entry)
	if c.bounds.Stage(facts) == ReclaimWaitsForMajority {
		if facts.RemovalConfirmed {
			known.restart()
		}
		return
	}
	if known.excluded.IsZero() {
		known.excluded = c.clock.Now()
		return
	}
	if facts.Elapsed < c.bounds.SurveyAfter()+c.headStart(state) {
		return
	}
	if !c.survey(ctx, state, known, entry) {
		return
	}
	if c.bounds.Stage(c.facts(state, known, entry)) == ReclaimReady {
		c.propose(ctx, entry)
	}
}

// note remembers which entries have applied the removal.
func (c *Reclaimer) note(known *clearing, entry *statemachine.Entry) {
	known.applied[c.self] = true
	for incarnation, next := range c.peers.AppliedOffsets() {
		if next > entry.RemovedAt {
			known.applied[incarnation] = true
		}
	}
}

func (c *Reclaimer) facts(state *statemachine.State, known *clearing, entry *statemachine.Entry) ReclaimFacts {
	_, answers := c.peers.AppliedOffsets()[entry.Incarnation]
	out := ReclaimFacts{
		Electorate:       entry.Electorate,
		RemovalConfirmed: entry.RemovalConfirmation != nil,
		Responsive:       answers,
		Unconfirmed:      CountUnconfirmed(state, entry, func(incarnation string) bool { return known.applied[incarnation] }),
	}
	if !known.excluded.IsZero() {
		out.Elapsed = bothclocks.Min(c.clock.Now(), known.excluded)
	}
	for _, evidence := range known.vms {
		out.VMs = append(out.VMs, evidence)
	}
	return out
}

// headStart is how long the members before this one have to clear first.
func (c *Reclaimer) headStart(state *statemachine.State) time.Duration {
	reached := c.peers.AppliedOffsets()
	rank := 0
	for incarnation := range state.Members() {
		if incarnation == c.self {
			break
		}
		if _, ok := reached[incarnation]; ok {
			rank++
		}
	}
	return time.Duration(rank) * clearStagger
}

// survey asks the VMs that have not shown yet that they run nothing for the
// entry. It reports whether the set of VMs is known.
func (c *Reclaimer) survey(ctx context.Context, state *statemachine.State, known *clearing, entry *statemachine.Entry) bool {
	isEmpty := func(vm string) bool {
		evidence := known.vms[vm]
		return evidence.QueriedAfter >= c.bounds.SurveyAfter() && evidence.Running == 0
	}
	ids, findings, err := c.surveyor.Survey(ctx, state, isEmpty)
	if err != nil {
		c.logger.Debug("VM list not read", "error", err.Error())
		return false
	}
	for _, id := range ids {
		if _, ok := known.vms[id]; !ok {
			known.vms[id] = VMEvidence{}
		}
	}
	for _, f := range findings {
		known.vms[f.VM] = VMEvidence{QueriedAfter: bothclocks.Min(f.QueriedAt, known.excluded), Running: f.heldBy(entry.Incarnation)}
	}
	return true
}

func (c *Reclaimer) propose(ctx context.Context, entry *statemachine.Entry) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.proposer.Propose(ctx, &statemachine.EntryReclaim{Incarnation: entry.Incarnation})
	if err != nil {
		c.logger.Debug("entry not cleared", "incarnation", entry.Incarnation, "error", err.Error())
		return
	}
	if result.Rejection == nil {
		c.logger.Warn("allotments of a removed entry returned", "incarnation", entry.Incarnation, "offset", result.Offset)
	}
}
