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

// variant switches one mechanism off.
type variant int

const (
	asBuilt variant = iota
	clearsWithoutWaiting
	lendsWithoutLowering
	checksBeforeTheLease
	clearsWithoutLooking
	takesBackAtTheEnd
)

// model is a small deterministic system: a log, workers with leases, and
// entries made of the real allotter, ledger, gate, lender, borrower and
// clearer. Each call into them is one event.
type model struct {
	random  *rand.Rand
	variant variant
	clock   *clockwork.FakeClock
	batches []statemachine.Batch
	state   *statemachine.State
	logDown bool
	late    []statemachine.Batch
	nodes   []*node
	vms     []*modelVM
	tasks   int
	broken  string
	seen    map[string]int
}

// modelVM is a worker: it refuses a start under a lapsed lease and runs the
// tasks of an entry on when that entry is gone.
type modelVM struct {
	leases  map[string]time.Time
	running map[string]string
}

func newModel(t *rapid.T, v variant) *model {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &model{
		random: rand.New(rand.NewPCG(seed, 0)), variant: v, clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), state: statemachine.New(), seen: map[string]int{},
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

// append puts a record at the end of the log.
func (m *model) append(writer string, seq uint64, command statemachine.Command) {
	m.land(statemachine.Batch{Writer: writer, Records: []statemachine.Record{{Seq: seq, Command: command}}})
}

func (m *model) land(batch statemachine.Batch) {
	m.batches = append(m.batches, batch)
	m.state, _ = m.state.Apply(uint64(len(m.batches)-1), batch)
}

// pick draws a number from 0 to max.
func (m *model) pick(max int) int { return m.random.IntN(max + 1) }

// chance draws an event of the given probability in percent.
func (m *model) chance(percent int, what string) bool {
	hit := m.random.IntN(100) < percent
	if hit {
		m.seen[what]++
	}
	return hit
}

// limit is the highest number of tasks that may run now: the limit, or what is
// still allotted after the limit was lowered.
func (m *model) limit() int {
	workspace, _ := m.state.WorkspaceByTeam.Get(modelTeam)
	_, total := holding(m.state, modelTeam, "")
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

// start begins a task under the lease, as a worker does.
func (m *model) start(vm *modelVM, lease, holder string) (task string, ok bool) {
	if !m.clock.Now().Before(vm.leases[lease]) {
		m.seen["refused start"]++
		return "", false
	}
	m.tasks++
	task = fmt.Sprint("task-", m.tasks)
	vm.running[task] = holder
	m.seen["start"]++
	if holder != "" && m.running() > m.limit() && m.broken == "" {
		m.broken = fmt.Sprintf("%d tasks run, %d may", m.running(), m.limit())
	}
	return task, true
}

// Call implements Caller: it carries a message to another entry, and loses or
// doubles it.
func (n *node) Call(_ context.Context, address string, req *peerpb.Request) (*peerpb.Response, error) {
	m := n.model
	other := m.byName(address)
	if !n.reaches(other) || m.chance(10, "lost request") {
		return nil, context.DeadlineExceeded
	}
	resp := other.handle(req)
	if m.chance(10, "doubled request") {
		other.handle(req)
	}
	if m.chance(10, "lost answer") {
		return nil, context.DeadlineExceeded
	}
	return resp, nil
}

func (n *node) handle(req *peerpb.Request) *peerpb.Response {
	answer := &peerpb.Loan{Lender: n.name}
	if loan := req.GetLoan(); loan != nil {
		answer.Id = loan.GetId()
		answer.Amount = int64(n.grant(loan.GetId(), int(loan.GetAmount())))
	}
	if loan := req.GetLoanReturn(); loan != nil {
		answer.Id = loan.GetId()
		n.lender.Return(loan.GetId(), int(loan.GetRemaining()))
	}
	return &peerpb.Response{Body: &peerpb.Response_Loan{Loan: answer}}
}

// grant asks the lender, or in the naive variant lends without lowering the
// own ledger.
func (n *node) grant(id string, amount int) int {
	granted := n.lender.Grant(id, modelTeam, amount)
	if granted > 0 {
		n.model.seen["loan"]++
	}
	if granted > 0 && n.model.variant == lendsWithoutLowering {
		n.lender.Return(id, 0)
	}
	return granted
}
