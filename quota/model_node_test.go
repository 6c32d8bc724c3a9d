package quota

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// node is one entry of the model.
type node struct {
	model    *model
	name     string
	seq      uint64
	state    *statemachine.State
	asOf     time.Time
	paused   bool
	killed   bool
	logCut   bool
	isolated bool
	members  map[string]membership.Member

	ledger    *Ledger
	gate      *Gate
	allotter  *Allotter
	lender    *Lender
	borrower  *Borrower
	reclaimer *Reclaimer
	requests  []*request
}

// request is a request in progress, or a running task.
type request struct {
	vm      *modelVM
	lease   string
	holder  string
	granted bool
	task    string
}

func (m *model) addNode() {
	n := &node{model: m, name: fmt.Sprintf("entry-%d", len(m.nodes)), state: statemachine.New(), members: map[string]membership.Member{}}
	bounds := ReclaimBounds{MaxStateAge: modelCurrent, LoanTTL: LoanTTL, SlotLeaseTTL: modelLease, ClockMargin: 100 * time.Millisecond, UsageLag: 0}
	surveyor := NewSurveyor(m, modelWorkers{model: m}, m.clock)
	logger := hclog.NewNullLogger()
	n.ledger = NewLedger()
	n.gate = NewGate(n.name, n.ledger, n, m.clock)
	n.allotter = NewAllotter(n.name, n, n.ledger, m.clock, logger)
	n.lender = NewLender(n.name, n, n.ledger, n, surveyor, bounds, m.clock, logger)
	n.borrower = NewBorrower(n.name, n.ledger, n, n, m.clock)
	n.reclaimer = NewReclaimer(n.name, n, n, surveyor, bounds, m.clock, logger)
	m.nodes = append(m.nodes, n)
	_, _ = n.Propose(context.Background(), &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: n.name}})
}

func (m *model) nodeByName(name string) *node {
	for _, n := range m.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// State implements Proposer.
func (n *node) State() *statemachine.State { return n.state }

// Propose implements Proposer. While the log is unavailable the record may be
// appended later, and otherwise it may be appended twice.
func (n *node) Propose(_ context.Context, command statemachine.Command) (statemachine.Result, error) {
	m := n.model
	n.seq++
	batch := statemachine.Batch{Writer: n.name, Records: []statemachine.Record{{Seq: n.seq, Command: command}}}
	if m.logDown || n.logCut {
		if m.drawEvent(50, "delayed append") {
			m.delayed = append(m.delayed, batch)
		}
		return statemachine.Result{}, &provider.Error{Op: "log.propose", Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	m.appendDelayed(n.name)
	m.appendBatch(batch)
	offset := uint64(len(m.batches) - 1)
	if m.drawEvent(10, "duplicated append") {
		m.appendBatch(batch)
	}
	return n.apply(offset), nil
}

// appendDelayed appends the writer's delayed records in their order, or those
// of all writers.
func (m *model) appendDelayed(writer string) {
	rest := m.delayed[:0:0]
	for _, batch := range m.delayed {
		if batch.Writer == writer || writer == "" {
			m.appendBatch(batch)
			continue
		}
		rest = append(rest, batch)
	}
	m.delayed = rest
}

// apply applies the log to its end and returns the result at the offset.
func (n *node) apply(offset uint64) statemachine.Result {
	var out statemachine.Result
	for n.state.NextOffset < uint64(len(n.model.batches)) {
		at := n.state.NextOffset
		next, results := n.state.Apply(at, n.model.batches[at])
		if at == offset {
			out = results[0]
		}
		n.state = next
	}
	n.asOf = n.model.clock.Now()
	return out
}

// MayUseAllotment implements Permit like the real entry.
func (n *node) MayUseAllotment() bool {
	if _, ok := n.state.Member(n.name); !ok {
		return false
	}
	claims := membership.PeerStatuses(n.state, n.reachable(), n.model.clock.Now())
	return n.isFresh() || membership.IsFreshByPeer(n.state.NextOffset, claims, modelCurrent) ||
		membership.IsLatestByQuorum(n.state.NextOffset, true, n.state.Entries.Len(), claims)
}

func (n *node) isFresh() bool { return n.model.clock.Now().Sub(n.asOf) <= modelCurrent }

func (n *node) reachable() []membership.Member {
	var out []membership.Member
	for _, other := range n.model.nodes {
		member, ok := n.members[other.name]
		if ok && n.model.clock.Now().Sub(member.SentAt) <= membership.ReachabilityTimeout {
			out = append(out, member)
		}
	}
	return out
}

// AppliedOffsets implements Peers.
func (n *node) AppliedOffsets() map[string]uint64 {
	out := map[string]uint64{}
	for _, member := range n.reachable() {
		out[member.Incarnation] = member.LastHeartbeat.GetApplied()
	}
	return out
}

// Lenders implements Peers.
func (n *node) Lenders(string) []Peer {
	var out []Peer
	for _, member := range n.reachable() {
		out = append(out, Peer{Incarnation: member.Incarnation, Address: member.Incarnation, Spare: int(member.LastHeartbeat.GetTeams()[0].GetSpare())})
	}
	return out
}

func (n *node) isRunning() bool { return !n.killed && !n.paused }

func (n *node) canReach(other *node) bool {
	return other != nil && other != n && n.isRunning() && other.isRunning() && n.isolated == other.isolated
}

// fetchHeartbeat requests another entry's heartbeat.
func (n *node) fetchHeartbeat(other *node) {
	if !n.canReach(other) {
		return
	}
	n.members[other.name] = membership.Member{Incarnation: other.name, Address: other.name, SentAt: n.model.clock.Now(), LastHeartbeat: &peerpb.Heartbeat{
		Incarnation: other.name, Applied: other.state.NextOffset, LogReadable: other.isFresh(),
		ControlAgeMs: n.model.clock.Now().Sub(other.asOf).Milliseconds(),
		Teams:        []*peerpb.TeamLoad{{Team: modelTeam, Spare: int64(other.ledger.Usage(modelTeam).Spare())}},
	}}
}
