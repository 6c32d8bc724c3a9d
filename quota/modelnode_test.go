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
	dead     bool
	cut      bool
	isolated bool
	members  map[string]membership.Member

	ledger   *Ledger
	gate     *Gate
	allotter *Allotter
	lender   *Lender
	borrower *Borrower
	clearer  *Reclaimer
	requests []*request
}

// request is one request on its way, or a task that runs.
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
	n.clearer = NewReclaimer(n.name, n, n, surveyor, bounds, m.clock, logger)
	m.nodes = append(m.nodes, n)
	_, _ = n.Propose(context.Background(), &statemachine.EntryJoin{Entry: statemachine.Entry{Incarnation: n.name}})
}

func (m *model) byName(name string) *node {
	for _, n := range m.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// State implements Proposer.
func (n *node) State() *statemachine.State { return n.state }

// Propose implements Proposer. Without the log the record may land later, and
// with it a record may stand twice.
func (n *node) Propose(_ context.Context, command statemachine.Command) (statemachine.Result, error) {
	m := n.model
	n.seq++
	batch := statemachine.Batch{Writer: n.name, Records: []statemachine.Record{{Seq: n.seq, Command: command}}}
	if m.logDown || n.cut {
		if m.chance(50, "late append") {
			m.late = append(m.late, batch)
		}
		return statemachine.Result{}, &provider.Error{Op: "log.propose", Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	m.landLate(n.name)
	m.land(batch)
	offset := uint64(len(m.batches) - 1)
	if m.chance(10, "doubled append") {
		m.land(batch)
	}
	return n.apply(offset), nil
}

// landLate lands the late records of the writer, in their order.
func (m *model) landLate(writer string) {
	rest := m.late[:0:0]
	for _, batch := range m.late {
		if batch.Writer == writer || writer == "" {
			m.land(batch)
			continue
		}
		rest = append(rest, batch)
	}
	m.late = rest
}

// apply reads the log to its end and returns the result at the offset.
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

// MayUseAllotment implements Permit as the entry does.
func (n *node) MayUseAllotment() bool {
	if _, ok := n.state.Member(n.name); !ok {
		return false
	}
	claims := membership.PeerStatuses(n.state, n.reachable(), n.model.clock.Now())
	return n.fresh() || membership.IsFreshByPeer(n.state.NextOffset, claims, modelCurrent) ||
		membership.IsLatestByQuorum(n.state.NextOffset, true, n.state.Entries.Len(), claims)
}

func (n *node) fresh() bool { return n.model.clock.Now().Sub(n.asOf) <= modelCurrent }

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

func (n *node) works() bool { return !n.dead && !n.paused }

func (n *node) reaches(other *node) bool {
	return other != nil && other != n && n.works() && other.works() && n.isolated == other.isolated
}

// beat asks another entry for its heartbeat.
func (n *node) beat(other *node) {
	if !n.reaches(other) {
		return
	}
	n.members[other.name] = membership.Member{Incarnation: other.name, Address: other.name, SentAt: n.model.clock.Now(), LastHeartbeat: &peerpb.Heartbeat{
		Incarnation: other.name, Applied: other.state.NextOffset, LogReadable: other.fresh(),
		ControlAgeMs: n.model.clock.Now().Sub(other.asOf).Milliseconds(),
		Teams:        []*peerpb.TeamLoad{{Team: modelTeam, Spare: int64(other.ledger.Usage(modelTeam).Spare())}},
	}}
}
