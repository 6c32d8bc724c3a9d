package quota

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/periodic"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	reclaimInterval = 250 * time.Millisecond
	// reclaimStagger is the head start of each member over the next one, so
	// that usually only one of them queries the VMs.
	reclaimStagger = 2 * time.Second
)

// Reclaimer makes the allotments of removed entries available again.
type Reclaimer struct {
	self     string
	proposer Proposer
	peers    Peers
	surveyor *Surveyor
	bounds   ReclaimBounds
	clock    clockwork.Clock
	logger   hclog.Logger
	removed  map[string]*reclamation
}

// reclamation is the evidence about one removed entry. It stays valid, unless
// it rests on an operator's removal confirmation and the entry responds later.
type reclamation struct {
	applied map[string]bool
	// excludedAt is when the entry was first known to reach no majority, or
	// its removal to be confirmed by an operator.
	excludedAt time.Time
	vms        map[string]VMEvidence
}

// resetExclusion discards the evidence that was counted from the exclusion.
func (r *reclamation) resetExclusion() {
	r.excludedAt = time.Time{}
	clear(r.vms)
}

// NewReclaimer returns the reclaimer of the entry incarnation.
func NewReclaimer(self string, proposer Proposer, peers Peers, surveyor *Surveyor, bounds ReclaimBounds, clock clockwork.Clock, logger hclog.Logger) *Reclaimer {
	return &Reclaimer{
		self: self, proposer: proposer, peers: peers, surveyor: surveyor, bounds: bounds, clock: clock, logger: logger,
		removed: make(map[string]*reclamation),
	}
}

// Run reclaims the allotments of removed entries until the context ends.
func (r *Reclaimer) Run(ctx context.Context) {
	periodic.Run(ctx, r.clock, reclaimInterval, r.runRound)
}

func (r *Reclaimer) runRound(ctx context.Context) {
	state := r.proposer.State()
	if _, ok := state.Member(r.self); !ok {
		return
	}
	for incarnation := range r.removed {
		if _, ok := state.Entries.Get(incarnation); !ok {
			delete(r.removed, incarnation)
		}
	}
	for _, entry := range state.Entries.All() {
		if entry.State == statemachine.EntryRemoved {
			r.advance(ctx, state, entry)
		}
	}
}

// advance runs the steps of one entry's reclamation that are possible now.
func (r *Reclaimer) advance(ctx context.Context, state *statemachine.State, entry *statemachine.Entry) {
	progress := r.removed[entry.Incarnation]
	if progress == nil {
		progress = &reclamation{applied: make(map[string]bool), vms: make(map[string]VMEvidence)}
		r.removed[entry.Incarnation] = progress
	}
	r.recordApplied(progress, entry)
	facts := r.facts(state, progress, entry)
	if r.bounds.Stage(facts) == ReclaimWaitsForMajority {
		if facts.RemovalConfirmed {
			progress.resetExclusion()
		}
		return
	}
	if progress.excludedAt.IsZero() {
		progress.excludedAt = r.clock.Now()
		return
	}
	if facts.Elapsed < r.bounds.SurveyAfter()+r.headStart(state) {
		return
	}
	if !r.survey(ctx, state, progress, entry) {
		return
	}
	if r.bounds.Stage(r.facts(state, progress, entry)) == ReclaimReady {
		r.propose(ctx, entry)
	}
}

// recordApplied records which entries have applied the removal.
func (r *Reclaimer) recordApplied(progress *reclamation, entry *statemachine.Entry) {
	progress.applied[r.self] = true
	for incarnation, next := range r.peers.AppliedOffsets() {
		if next > entry.RemovedAt {
			progress.applied[incarnation] = true
		}
	}
}

func (r *Reclaimer) facts(state *statemachine.State, progress *reclamation, entry *statemachine.Entry) ReclaimFacts {
	_, responsive := r.peers.AppliedOffsets()[entry.Incarnation]
	out := ReclaimFacts{
		Electorate:       entry.Electorate,
		RemovalConfirmed: entry.RemovalConfirmation != nil,
		Responsive:       responsive,
		Unconfirmed:      CountUnconfirmed(state, entry, func(incarnation string) bool { return progress.applied[incarnation] }),
	}
	if !progress.excludedAt.IsZero() {
		out.Elapsed = elapsed.Min(r.clock.Now(), progress.excludedAt)
	}
	for _, evidence := range progress.vms {
		out.VMs = append(out.VMs, evidence)
	}
	return out
}

// headStart is how long this entry waits for the members that rank before it.
func (r *Reclaimer) headStart(state *statemachine.State) time.Duration {
	applied := r.peers.AppliedOffsets()
	rank := 0
	for incarnation := range state.Members() {
		if incarnation == r.self {
			break
		}
		if _, ok := applied[incarnation]; ok {
			rank++
		}
	}
	return time.Duration(rank) * reclaimStagger
}

// survey queries the VMs that may still run tasks for the entry. It reports
// whether the set of VMs is known.
func (r *Reclaimer) survey(ctx context.Context, state *statemachine.State, progress *reclamation, entry *statemachine.Entry) bool {
	isIdle := func(vm string) bool {
		evidence := progress.vms[vm]
		return evidence.QueriedAfter >= r.bounds.SurveyAfter() && evidence.Running == 0
	}
	vmIDs, results, err := r.surveyor.Survey(ctx, state, isIdle)
	if err != nil {
		r.logger.Debug("failed to read the VM list", "error", err.Error())
		return false
	}
	for _, id := range vmIDs {
		if _, ok := progress.vms[id]; !ok {
			progress.vms[id] = VMEvidence{}
		}
	}
	for _, result := range results {
		progress.vms[result.VM] = VMEvidence{QueriedAfter: elapsed.Min(result.QueriedAt, progress.excludedAt), Running: result.runningFor(entry.Incarnation)}
	}
	return true
}

func (r *Reclaimer) propose(ctx context.Context, entry *statemachine.Entry) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := r.proposer.Propose(ctx, &statemachine.EntryReclaim{Incarnation: entry.Incarnation})
	if err != nil {
		r.logger.Debug("failed to reclaim the allotments of a removed entry", "incarnation", entry.Incarnation, "error", err.Error())
		return
	}
	if result.Rejection == nil {
		r.logger.Warn("reclaimed the allotments of a removed entry", "incarnation", entry.Incarnation, "offset", result.Offset)
	}
}
