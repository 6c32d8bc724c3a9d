package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// team collects the results of one team's requests.
type team struct {
	name   string
	weight float64
	limit  float64
	// urgent, order, job and jobOnce are queues, or "" for none.
	urgent, order, job, jobOnce string
	// key is the API key that its callers present.
	key string

	mu           sync.Mutex
	outcomes     map[string]int
	wrongAnswers int
	latency      *hdrhistogram.Histogram
	// offered and used hold the slot time over the run.
	offered, used slotTime
}

const maxLatency = time.Hour

func newTeam(name string, weight, limit float64) *team {
	return &team{
		name: name, weight: weight, limit: limit, outcomes: make(map[string]int),
		latency: newLatency(),
		offered: make(slotTime), used: make(slotTime),
	}
}

// findQueues finds the team's queues in the template of its workspace.
func (t *team) findQueues(template statemachine.Template, workspace string) {
	find := func(class statemachine.Class, once func(statemachine.Queue) bool) string {
		return queueOf(template, workspace, func(q statemachine.Queue) bool { return q.Class == class && once(q) })
	}
	either := func(statemachine.Queue) bool { return true }
	again := func(q statemachine.Queue) bool { return !q.RunsAtMostOnce() }
	t.urgent = find(statemachine.ClassUrgent, either)
	t.order = find(statemachine.ClassOrder, either)
	t.job = find(statemachine.ClassJob, again)
	t.jobOnce = find(statemachine.ClassJob, statemachine.Queue.RunsAtMostOnce)
}

// recordOffered counts the offered slot time of a request.
func (t *team) recordOffered(at, work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered.add(at, work)
}

// requestOutcome is the outcome of one request.
type requestOutcome struct {
	outcome     string
	latency     time.Duration
	wrongAnswer bool
	// started is when the worker started the task, from the start of the run.
	started time.Duration
	// runTime is how long the task occupied its slot.
	runTime time.Duration
}

// recordOutcome counts the outcome of a request. Only an answered one is known
// to have used its slot time.
func (t *team) recordOutcome(e requestOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[e.outcome]++
	if e.outcome != answered {
		return
	}
	_ = t.latency.RecordValue(e.latency.Microseconds())
	if e.wrongAnswer {
		t.wrongAnswers++
		return
	}
	t.used.add(max(0, e.started), e.runTime)
}

// recordJobUse counts the slot time of a job that finished at the given time.
func (t *team) recordJobUse(at, work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used.add(max(0, at-work), work)
}

// countWrongAnswer counts an answer that did not belong to its request.
func (t *team) countWrongAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrongAnswers++
}
