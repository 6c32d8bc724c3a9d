package quota

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/elapsed"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	modelRounds    = 240
	modelTick      = 250 * time.Millisecond
	modelMaxNodes  = 5
	killPermille   = 3
	longTaskSuffix = "0"
)

// round runs one round of every entry and advances the clock.
func (m *model) round() {
	m.toggleFaults()
	for _, n := range m.nodes {
		if n.isRunning() {
			n.round()
		}
	}
	m.finishTasks()
	m.clock.Advance(modelTick)
}

// toggleFaults toggles the faults of the platform and of the entries.
func (m *model) toggleFaults() {
	m.toggle(&m.logDown, 2, 10, "log down")
	if !m.logDown && m.drawEvent(20, "delayed records appended") {
		m.appendDelayed("")
	}
	if len(m.nodes) < modelMaxNodes && m.drawEvent(3, "join") {
		m.addNode()
	}
	if !m.logDown && m.drawEvent(3, "limit changed") {
		w, _ := m.state.WorkspaceByTeam.Get(modelTeam)
		next := *w
		next.Limit = 1 + m.drawUpTo(7)
		m.append("operator", w.Version+3, &statemachine.WorkspaceSet{Workspace: next, Expected: w.Version})
	}
	for _, n := range m.nodes {
		switch {
		case n.killed:
		case len(m.nodes) > 3 && m.random.IntN(1000) < killPermille:
			n.killed = true
			m.eventCounts["kill"]++
		default:
			m.toggle(&n.paused, 1, 2, "pause")
		}
		m.toggle(&n.logCut, 1, 10, "disconnected from the log")
		m.toggle(&n.isolated, 1, 10, "isolated")
	}
}

// toggle switches a fault on or off with the given probabilities in percent.
func (m *model) toggle(fault *bool, on, off int, what string) {
	if *fault {
		*fault = !m.drawEvent(off, what+" ends")
		return
	}
	*fault = m.drawEvent(on, what)
}

// round runs the parts of one entry in a tick, in one of their possible orders.
func (n *node) round() {
	m := n.model
	ctx := context.Background()
	for _, other := range m.nodes {
		if m.drawEvent(80, "heartbeat") {
			n.fetchHeartbeat(other)
		}
	}
	if !m.logDown && !n.logCut && m.drawEvent(80, "read") {
		n.apply(0)
	}
	if workspace, ok := n.state.WorkspaceByTeam.Get(modelTeam); ok && m.drawEvent(60, "adjust") {
		if _, member := n.state.Member(n.name); member {
			n.allotter.adjust(ctx, n.state, modelTeam, workspace.Limit)
		}
	}
	n.updateMembership(ctx)
	n.reclaim(ctx)
	n.processLoans(ctx)
	n.advanceRequests()
}

// updateMembership acknowledges the membership and removes other entries,
// justified or not.
func (n *node) updateMembership(ctx context.Context) {
	self, ok := n.state.Member(n.name)
	if !ok {
		return
	}
	if self.AcknowledgedVersion != n.state.MembershipVersion {
		_, _ = n.Propose(ctx, &statemachine.EntryAck{Version: n.state.MembershipVersion})
	}
	for _, other := range n.model.nodes {
		percent := 1
		if !n.canReach(other) {
			percent = 20
		}
		if _, member := n.state.Member(other.name); member && other != n && n.model.drawEvent(percent, "remove") {
			_, _ = n.Propose(ctx, &statemachine.EntryRemove{Incarnation: other.name})
		}
		n.confirmRemoval(ctx, other)
	}
}

// confirmRemoval may record an operator's removal confirmation for a killed
// entry.
func (n *node) confirmRemoval(ctx context.Context, other *node) {
	entry, ok := n.state.Entries.Get(other.name)
	if ok && other.killed && entry.State == statemachine.EntryRemoved && entry.RemovalConfirmation == nil && n.model.drawEvent(10, "removal confirmed") {
		_, _ = n.Propose(ctx, &statemachine.EntryRemovalConfirm{Incarnation: other.name, By: "operator", Reason: "killed"})
	}
}

func (n *node) reclaim(ctx context.Context) {
	before := n.state.Entries.Len()
	n.reclaimer.runRound(ctx)
	if v := n.model.variant; v == reclaimsWithoutWaiting || v == reclaimsWithoutSurvey {
		for name, entry := range n.state.Entries.All() {
			if entry.State == statemachine.EntryRemoved && (v == reclaimsWithoutWaiting || n.surveyDue(name)) {
				_, _ = n.Propose(ctx, &statemachine.EntryReclaim{Incarnation: name})
			}
		}
	}
	n.model.eventCounts["reclaim"] += max(0, before-n.state.Entries.Len())
}

// surveyDue reports whether the reclamation of the entry waits only for the VMs.
func (n *node) surveyDue(entry string) bool {
	progress := n.reclaimer.removed[entry]
	return progress != nil && !progress.excludedAt.IsZero() && elapsed.Min(n.model.clock.Now(), progress.excludedAt) >= n.reclaimer.bounds.SurveyAfter()
}

func (n *node) processLoans(ctx context.Context) {
	n.lender.reclaimExpired(ctx)
	for id, loan := range n.lender.loans {
		if n.model.variant == reclaimsLoanAtExpiry && !n.model.clock.Now().Before(loan.expiresAt) {
			n.lender.Return(id, 0)
		}
	}
	for _, loan := range n.ledger.loansOf(modelTeam) {
		if dueAction := n.borrower.dueAction(loan); dueAction != nil {
			dueAction(ctx, loan)
		}
	}
	shortage := n.borrower.estimateShortage(modelTeam, n.ledger.Usage(modelTeam))
	for _, lender := range n.borrower.chooseLenders(modelTeam, shortage) {
		n.borrower.borrow(ctx, n.borrower.nextID(), modelTeam, lender, shortage)
	}
}

// advanceRequests advances each request by some steps: lease, check, start. The
// entry may be paused between any two.
func (n *node) advanceRequests() {
	m := n.model
	for range m.drawUpTo(3) {
		n.requests = append(n.requests, &request{vm: m.vms[m.drawUpTo(modelVMs-1)]})
	}
	rest := n.requests[:0:0]
	for _, r := range n.requests {
		steps := m.drawUpTo(3)
		pending := true
		for range steps {
			pending = pending && n.step(r)
		}
		if pending {
			rest = append(rest, r)
		}
	}
	n.requests = rest
}

// step runs the next step of a request and reports whether it is unfinished.
func (n *node) step(r *request) bool {
	if r.task != "" {
		if _, running := r.vm.running[r.task]; running {
			return true
		}
		n.gate.Release(modelTeam, r.holder)
		return false
	}
	if n.model.variant == acquiresBeforeLease && !r.granted {
		r.holder, r.granted = n.gate.Acquire(modelTeam)
		return r.granted
	}
	if r.lease == "" {
		n.model.tasks++
		r.lease = fmt.Sprint("lease-", n.model.tasks)
		r.vm.leases[r.lease] = n.model.clock.Now().Add(modelLease)
		return true
	}
	if !r.granted {
		r.holder, r.granted = n.gate.Acquire(modelTeam)
		return r.granted
	}
	task, ok := n.model.startTask(r.vm, r.lease, r.holder)
	if !ok {
		n.gate.Release(modelTeam, r.holder)
		return false
	}
	r.task = task
	return true
}

// finishTasks finishes some of the running tasks.
func (m *model) finishTasks() {
	for _, vm := range m.vms {
		for _, task := range slices.Sorted(maps.Keys(vm.running)) {
			percent := 20
			if strings.HasSuffix(task, longTaskSuffix) {
				percent = 1
			}
			if m.drawEvent(percent, "task finished") {
				delete(vm.running, task)
			}
		}
	}
}

func runModel(t *rapid.T, v variant) *model {
	m := newModel(t, v)
	for range modelRounds {
		m.round()
		if m.violation != "" {
			return m
		}
	}
	return m
}

// TestModel_LimitNeverExceeded runs random schedules of kills, pauses,
// partitions, lost and duplicated messages, log outages and limit changes
// against the real components.
func TestModel_LimitNeverExceeded(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := runModel(t, unmodified)
		require.Empty(t, m.violation)
		for what, count := range m.eventCounts {
			eventCounts[what] += count
		}
	})
	for _, what := range []string{"start", "refused start", "loan", "reclaim", "lost reply", "duplicated request", "delayed append", "limit changed", "kill", "pause", "removal confirmed"} {
		require.Positive(t, eventCounts[what], "no schedule contained event %s", what)
	}
	t.Logf("events: %v", eventCounts)
}

// TestModel_UnsafeVariantsExceedLimit checks that the model detects the
// violation of each variant with one mechanism disabled.
func TestModel_UnsafeVariantsExceedLimit(t *testing.T) {
	raiseScheduleCount(t)
	for name, v := range map[string]variant{
		"no wait before reclamation":       reclaimsWithoutWaiting,
		"lender does not lower its ledger": lendsWithoutLoweringLedger,
		"acquire before the lease":         acquiresBeforeLease,
		"no survey of the VMs":             reclaimsWithoutSurvey,
		"loan reclaimed at its expiry":     reclaimsLoanAtExpiry,
	} {
		t.Run(name, func(t *testing.T) {
			violations := 0
			rapid.Check(t, func(t *rapid.T) {
				if violations == 0 && runModel(t, v).violation != "" {
					violations++
				}
			})
			require.Positive(t, violations)
		})
	}
}
