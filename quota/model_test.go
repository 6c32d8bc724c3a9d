package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/proto/peerpb"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	modelTeam    = "team"
	modelVMs     = 2
	modelLease   = time.Second
	modelCurrent = 2 * time.Second
)

// variant disables one safety mechanism.
type variant int

const (
	unmodified variant = iota
	reclaimsWithoutWaiting
	lendsWithoutLoweringLedger
	acquiresBeforeLease
	reclaimsWithoutSurvey
	reclaimsLoanAtExpiry
)

// model is a small deterministic system: a log, workers with leases, and
// entries with the real allotter, ledger, gate, lender, borrower and
// reclaimer. Each call into them is one event.
type model struct {
	random      *rand.Rand
	variant     variant
	clock       *clockwork.FakeClock
	batches     []statemachine.Batch
	state       *statemachine.State
	logDown     bool
	delayed     []statemachine.Batch
	nodes       []*node
	vms         []*modelVM
	tasks       int
	violation   string
	eventCounts map[string]int
}

// modelVM is a worker: it refuses a start under an expired lease and continues
// to run the tasks of a killed entry.
type modelVM struct {
	leases  map[string]time.Time
	running map[string]string
}

func newModel(t *rapid.T, v variant) *model {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &model{
		random: rand.New(rand.NewPCG(seed, 0)), variant: v, clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), state: statemachine.New(), eventCounts: map[string]int{},
	}
	for range modelVMs {
		m.vms = append(m.vms, &modelVM{leases: map[string]time.Time{}, running: map[string]string{}})
	}
	m.append("operator", 1, &statemachine.PoolSet{Pool: statemachine.Pool{Name: "p"}})
	m.append("operator", 2, &statemachine.TemplateSet{Template: statemachine.Template{Name: "t", Pools: []string{"p"}}})
	m.append("operator", 3, &statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: "w", Template: "t", Team: modelTeam, Limit: 6}})
	for range 3 {
		m.addNode()
	}
	return m
}

// append appends a record to the log.
func (m *model) append(writer string, seq uint64, command statemachine.Command) {
	m.appendBatch(statemachine.Batch{Writer: writer, Records: []statemachine.Record{{Seq: seq, Command: command}}})
}

func (m *model) appendBatch(batch statemachine.Batch) {
	m.batches = append(m.batches, batch)
	m.state, _ = m.state.Apply(uint64(len(m.batches)-1), batch)
}

// drawUpTo draws a number from 0 to maximum.
func (m *model) drawUpTo(maximum int) int { return m.random.IntN(maximum + 1) }

// drawEvent draws whether an event of the given probability in percent occurs.
func (m *model) drawEvent(percent int, what string) bool {
	hit := m.random.IntN(100) < percent
	if hit {
		m.eventCounts[what]++
	}
	return hit
}

// maxRunning is the maximum number of tasks that may run now: the limit, or the
// sum of the allotments after the limit was lowered.
func (m *model) maxRunning() int {
	workspace, _ := m.state.WorkspaceByTeam.Get(modelTeam)
	_, total := allotmentOf(m.state, modelTeam, "")
	return max(workspace.Limit, total)
}

func (m *model) running() int {
	sum := 0
	for _, vm := range m.vms {
		sum += len(vm.running)
	}
	return sum
}

// List implements provider.VMs.
func (m *model) List(context.Context) ([]provider.VMInfo, error) {
	var out []provider.VMInfo
	for i := range m.vms {
		id := fmt.Sprint(i)
		out = append(out, provider.VMInfo{ID: id, Address: id, State: provider.VMActive})
	}
	return out, nil
}

// modelWorkers implements the part of provider.Workers that a survey uses.
type modelWorkers struct {
	provider.Workers
	model *model
}

func (w modelWorkers) ListTasks(_ context.Context, address string) (provider.TaskList, error) {
	var index int
	if _, err := fmt.Sscan(address, &index); err != nil {
		return provider.TaskList{}, err
	}
	out := provider.TaskList{}
	for id, holder := range w.model.vms[index].running {
		out.Tasks = append(out.Tasks, provider.TaskStatus{ID: id, Holder: holder, State: provider.TaskRunning})
	}
	return out, nil
}

// startTask starts a task under the lease, as a worker does.
func (m *model) startTask(vm *modelVM, lease, holder string) (task string, ok bool) {
	if !m.clock.Now().Before(vm.leases[lease]) {
		m.eventCounts["refused start"]++
		return "", false
	}
	m.tasks++
	task = fmt.Sprint("task-", m.tasks)
	vm.running[task] = holder
	m.eventCounts["start"]++
	if holder != "" && m.running() > m.maxRunning() && m.violation == "" {
		m.violation = fmt.Sprintf("%d tasks run, limit %d", m.running(), m.maxRunning())
	}
	return task, true
}

// Call implements Caller: it delivers a message to another entry, or loses or
// duplicates it.
func (n *node) Call(_ context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	m := n.model
	other := m.nodeByName(address)
	if !n.canReach(other) || m.drawEvent(10, "lost request") {
		return nil, context.DeadlineExceeded
	}
	resp := other.handle(req)
	if m.drawEvent(10, "duplicated request") {
		other.handle(req)
	}
	if m.drawEvent(10, "lost reply") {
		return nil, context.DeadlineExceeded
	}
	return resp, nil
}

func (n *node) handle(req *peerpb.Request) *peerpb.Response {
	reply := &peerpb.Loan{Lender: n.name}
	if loan := req.GetLoan(); loan != nil {
		reply.Id = loan.GetId()
		reply.Amount = int64(n.grant(loan.GetId(), int(loan.GetAmount())))
	}
	if loan := req.GetLoanReturn(); loan != nil {
		reply.Id = loan.GetId()
		n.lender.Return(loan.GetId(), int(loan.GetRemaining()))
	}
	return &peerpb.Response{Body: &peerpb.Response_Loan{Loan: reply}}
}

// grant calls the lender; in the unsafe variant the loan does not lower the
// lender's ledger.
func (n *node) grant(id string, amount int) int {
	granted := n.lender.Grant(id, modelTeam, amount)
	if granted > 0 {
		n.model.eventCounts["loan"]++
	}
	if granted > 0 && n.model.variant == lendsWithoutLoweringLedger {
		n.lender.Return(id, 0)
	}
	return granted
}
