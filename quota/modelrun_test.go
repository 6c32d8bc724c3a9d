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

	"github.com/anvilcourse/anvilcourse/bothclocks"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	modelRounds  = 240
	modelTick    = 250 * time.Millisecond
	modelMaxNode = 5
	killPermille = 3
	longTask     = "0"
)

// round lets every entry do what is due, and time pass.
func (m *model) round() {
	m.faults()
	for _, n := range m.nodes {
		if n.works() {
			n.round()
		}
	}
	m.endTasks()
	m.clock.Advance(modelTick)
}

// faults switches the faults of the platform and of the entries.
func (m *model) faults() {
	m.toggle(&m.logDown, 2, 10, "log down")
	if !m.logDown && m.chance(20, "late records land") {
		m.landLate("")
	}
	if len(m.nodes) < modelMaxNode && m.chance(3, "join") {
		m.addNode()
	}
	if !m.logDown && m.chance(3, "limit changed") {
		w, _ := m.state.WorkspaceByTeam.Get(modelTeam)
		next := *w
		next.Limit = 1 + m.pick(7)
		m.append("operator", w.Version+3, &statemachine.WorkspaceSet{Workspace: next, Expected: w.Version})
	}
	for _, n := range m.nodes {
		switch {
		case n.dead:
		case len(m.nodes) > 3 && m.random.IntN(1000) < killPermille:
			n.dead = true
			m.seen["kill"]++
		default:
			m.toggle(&n.paused, 1, 2, "pause")
		}
		m.toggle(&n.cut, 1, 10, "cut from the log")
		m.toggle(&n.isolated, 1, 10, "isolated")
	}
}

// toggle switches a fault on or off with the given probabilities in percent.
func (m *model) toggle(fault *bool, on, off int, what string) {
	if *fault {
		*fault = !m.chance(off, what+" ends")
		return
	}
	*fault = m.chance(on, what)
}

// round is what one entry does in a tick, in the order in which its parts may
// come.
func (n *node) round() {
	m := n.model
	ctx := context.Background()
	for _, other := range m.nodes {
		if m.chance(80, "heartbeat") {
			n.beat(other)
		}
	}
	if !m.logDown && !n.cut && m.chance(80, "read") {
		n.apply(0)
	}
	if workspace, ok := n.state.WorkspaceByTeam.Get(modelTeam); ok && m.chance(60, "adjust") {
		if _, member := n.state.Member(n.name); member {
			n.allotter.adjust(ctx, n.state, modelTeam, workspace.Limit)
		}
	}
	n.keepMembership(ctx)
	n.clear(ctx)
	n.loans(ctx)
	n.serve()
}

// keepMembership acknowledges, and removes another entry, rightly or not.
func (n *node) keepMembership(ctx context.Context) {
	self, ok := n.state.Member(n.name)
	if !ok {
		return
	}
	if self.AcknowledgedVersion != n.state.MembershipVersion {
		_, _ = n.Propose(ctx, &statemachine.EntryAck{Version: n.state.MembershipVersion})
	}
	for _, other := range n.model.nodes {
		percent := 1
		if !n.reaches(other) {
			percent = 20
		}
		if _, member := n.state.Member(other.name); member && other != n && n.model.chance(percent, "remove") {
			_, _ = n.Propose(ctx, &statemachine.EntryRemove{Incarnation: other.name})
		}
		n.stateGone(ctx, other)
	}
}

// stateGone records an operator's word that a killed entry is gone, at times.
func (n *node) stateGone(ctx context.Context, other *node) {
	entry, ok := n.state.Entries.Get(other.name)
	if ok && other.dead && entry.State == statemachine.EntryRemoved && entry.RemovalConfirmation == nil && n.model.chance(10, "stated gone") {
		_, _ = n.Propose(ctx, &statemachine.EntryRemovalConfirm{Incarnation: other.name, By: "operator", Reason: "killed"})
	}
}

func (n *node) clear(ctx context.Context) {
	before := n.state.Entries.Len()
	n.clearer.once(ctx)
	if v := n.model.variant; v == clearsWithoutWaiting || v == clearsWithoutLooking {
		for name, entry := range n.state.Entries.All() {
			if entry.State == statemachine.EntryRemoved && (v == clearsWithoutWaiting || n.waited(name)) {
				_, _ = n.Propose(ctx, &statemachine.EntryReclaim{Incarnation: name})
			}
		}
	}
	n.model.seen["clear"] += max(0, before-n.state.Entries.Len())
}

// waited reports whether the clearing of the entry only lacks the VMs' word.
func (n *node) waited(entry string) bool {
	known := n.clearer.removed[entry]
	return known != nil && !known.excluded.IsZero() && bothclocks.Min(n.model.clock.Now(), known.excluded) >= n.clearer.bounds.SurveyAfter()
}

func (n *node) loans(ctx context.Context) {
	n.lender.reclaim(ctx)
	for id, loan := range n.lender.loans {
		if n.model.variant == takesBackAtTheEnd && !n.model.clock.Now().Before(loan.ends) {
			n.lender.Return(id, 0)
		}
	}
	for _, loan := range n.ledger.loansOf(modelTeam) {
		if due := n.borrower.due(loan); due != nil {
			due(ctx, loan)
		}
	}
	want := n.borrower.wanted(modelTeam, n.ledger.Usage(modelTeam))
	for _, lender := range n.borrower.choose(modelTeam, want) {
		n.borrower.borrow(ctx, n.borrower.nextID(), modelTeam, lender, want)
	}
}

// serve moves each request one step: lease, check, start. The entry may be
// paused between any two.
func (n *node) serve() {
	m := n.model
	for range m.pick(3) {
		n.requests = append(n.requests, &request{vm: m.vms[m.pick(modelVMs-1)]})
	}
	rest := n.requests[:0:0]
	for _, r := range n.requests {
		steps := m.pick(3)
		alive := true
		for range steps {
			alive = alive && n.step(r)
		}
		if alive {
			rest = append(rest, r)
		}
	}
	n.requests = rest
}

// step does the next part of a request and reports whether it goes on.
func (n *node) step(r *request) bool {
	if r.task != "" {
		if _, running := r.vm.running[r.task]; running {
			return true
		}
		n.gate.Release(modelTeam, r.holder)
		return false
	}
	if n.model.variant == checksBeforeTheLease && !r.granted {
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
	task, ok := n.model.start(r.vm, r.lease, r.holder)
	if !ok {
		n.gate.Release(modelTeam, r.holder)
		return false
	}
	r.task = task
	return true
}

// endTasks ends some of the running tasks.
func (m *model) endTasks() {
	for _, vm := range m.vms {
		for _, task := range slices.Sorted(maps.Keys(vm.running)) {
			percent := 20
			if strings.HasSuffix(task, longTask) {
				percent = 1
			}
			if m.chance(percent, "task ends") {
				delete(vm.running, task)
			}
		}
	}
}

func runModel(t *rapid.T, v variant) *model {
	m := newModel(t, v)
	for range modelRounds {
		m.round()
		if m.broken != "" {
			return m
		}
	}
	return m
}

// TestModel_LimitHolds runs random schedules of kill, pause, cut, lost and
// doubled messages, log outage and changed limits against the real parts.
func TestModel_LimitHolds(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := runModel(t, asBuilt)
		require.Empty(t, m.broken)
		for what, count := range m.seen {
			seen[what] += count
		}
	})
	for _, what := range []string{"start", "refused start", "loan", "clear", "lost answer", "doubled request", "late append", "limit changed", "kill", "pause", "stated gone"} {
		require.Positive(t, seen[what], "no schedule had a %s", what)
	}
	t.Logf("events: %v", seen)
}

// TestModel_NaiveVariantsBreakIt checks that the model finds the fault of each
// variant with one mechanism switched off.
func TestModel_NaiveVariantsBreakIt(t *testing.T) {
	searchLonger(t)
	for name, v := range map[string]variant{
		"no wait before clearing": clearsWithoutWaiting,
		"lender does not lower":   lendsWithoutLowering,
		"check before the lease":  checksBeforeTheLease,
		"no look at the VMs":      clearsWithoutLooking,
		"loan back at its end":    takesBackAtTheEnd,
	} {
		t.Run(name, func(t *testing.T) {
			broken := 0
			rapid.Check(t, func(t *rapid.T) {
				if broken == 0 && runModel(t, v).broken != "" {
					broken++
				}
			})
			require.Positive(t, broken)
		})
	}
}
