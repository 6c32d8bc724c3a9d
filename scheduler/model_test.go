package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

// model plays owners and workers against each other with orders that are lost,
// late and repeated, in an order that rapid draws. Its promises: no task runs
// twice at once, none starts after an end as done that was acknowledged, and no
// worker is over its room.
type model struct {
	t       *rapid.T
	now     time.Time
	view    *ledger.View
	subs    []*fleet.Submission
	owners  []*modelOwner
	workers map[string]*modelWorker
	acked   map[fleet.TaskID]bool
	// wrong breaks one mechanism, for tests of the model itself.
	wrong func(*Scheduler)
}

type modelOwner struct {
	s       *Scheduler
	batches []Batch
	fenced  bool
}

type modelWorker struct {
	info     fleet.Worker
	token    int64
	lease    int64
	runs     map[fleet.TaskID]*fakeRun
	highest  map[fleet.TaskID]int
	finished []fleet.FinishedRun
	ends     int64
	late     []StartRequest
	cut      bool
	// endedAt is when each end came, lapsedAt when the lease was last over: an end
	// from before that is not one that was taken note of.
	endedAt  map[int64]time.Time
	lapsedAt time.Time
	now      time.Time
}

const modelLease = 2 * time.Second

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.UnixMilli(1_700_000_000_000), view: ledger.NewView(), workers: map[string]*modelWorker{}, acked: map[fleet.TaskID]bool{}}
	for i := range 3 {
		id := fmt.Sprintf("w-%d", i)
		m.workers[id] = &modelWorker{
			info: fleet.Worker{ID: id, Address: "a", Pool: testPool, Labels: []string{"a", "r"}, Capacity: fleet.Resources{MilliCPU: 2000, MemMB: 10}, StartedAtMillis: 1},
			runs: map[fleet.TaskID]*fakeRun{}, highest: map[fleet.TaskID]int{}, endedAt: map[int64]time.Time{},
		}
	}
	for i := range 4 {
		sub := &fleet.Submission{ID: jobID(i), Queue: "desk", ArrivedMillis: m.now.UnixMilli(), Steps: []fleet.Step{
			{Count: 2, Need: fleet.Resources{MilliCPU: 1000}, EstimateMillis: 300}, {Count: 1, Need: fleet.Resources{MilliCPU: 1000}, EstimateMillis: 300, DependsOn: []int{0}}}}
		m.subs = append(m.subs, sub)
		require.NoError(t, m.view.Apply(ledger.SubmissionRecord(*sub)))
	}
	m.takeOver()
	return m
}

func (m *model) list() map[string]fleet.Worker {
	out := map[string]fleet.Worker{}
	for id, w := range m.workers {
		out[id] = w.info
	}
	return out
}

// takeOver fences the ledger against the last owner and begins a new term.
func (m *model) takeOver() {
	for _, o := range m.owners {
		o.fenced = true
	}
	o := &modelOwner{s: New(Config{FencingToken: int64(len(m.owners) + 1), LeaseDuration: modelLease, PreviousLeaderLease: authorityInModel + modelLease}, m.now)}
	o.s.SetManifest(testManifest())
	o.s.SetWorkers(m.list(), m.now)
	for _, j := range m.view.Jobs {
		o.s.RestoreJob(j, m.now)
	}
	if m.wrong != nil {
		m.wrong(o.s)
	}
	m.owners = append(m.owners, o)
}

// authorityInModel is for how long a fenced owner may still send what it had
// stored.
const authorityInModel = time.Second

func (m *model) step() {
	o := m.owners[len(m.owners)-1]
	if rapid.IntRange(0, 9).Draw(m.t, "owner") == 0 && len(m.owners) > 1 {
		o = m.owners[len(m.owners)-2]
	}
	w := m.workers[fmt.Sprintf("w-%d", rapid.IntRange(0, 2).Draw(m.t, "worker"))]
	switch rapid.IntRange(0, 13).Draw(m.t, "step") {
	case 0, 1:
		m.pass(time.Duration(rapid.IntRange(20, 400).Draw(m.t, "ms")) * time.Millisecond)
	case 2, 3, 4:
		o.s.Place(m.now)
		m.take(o)
	case 5, 6:
		m.store(o)
	case 7, 8, 9:
		m.look(o, w)
	case 10:
		o.s.Tick(m.now)
		m.take(o)
	case 11:
		w.cut = !w.cut
	case 12:
		if rapid.IntRange(0, 3).Draw(m.t, "takeover") == 0 {
			m.takeOver()
		}
	case 13:
		if len(w.late) > 0 {
			m.start(w, w.late[0])
			w.late = w.late[1:]
		}
	}
}

func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		w.now = m.now
		if w.lease < m.now.UnixMilli() {
			w.lapsedAt = m.now
		}
		for id, run := range w.runs {
			switch {
			case w.lease < m.now.UnixMilli():
				w.end(id, fleet.RunLeaseExpired)
			case !m.now.Before(run.until):
				w.end(id, fleet.RunDone)
			}
		}
	}
}

func (w *modelWorker) end(id fleet.TaskID, how fleet.RunOutcome) {
	w.ends++
	w.endedAt[w.ends] = w.now
	w.highest[id] = max(w.highest[id], w.runs[id].attempt)
	w.finished = append(w.finished, fleet.FinishedRun{Number: w.ends, Task: id, Attempt: w.runs[id].attempt, Outcome: how})
	delete(w.runs, id)
}

func (m *model) take(o *modelOwner) {
	b := o.s.TakeBatch()
	for i := range b.Stops {
		m.stop(o, b.Stops[i])
	}
	if b.NeedsPersisting() {
		o.batches = append(o.batches, b)
	}
}

// store stores the owner's oldest batch, unless a later owner has taken over.
func (m *model) store(o *modelOwner) {
	if len(o.batches) == 0 || o.fenced {
		return
	}
	b := o.batches[0]
	o.batches = o.batches[1:]
	for _, r := range b.Records {
		require.NoError(m.t, m.view.Apply(r))
	}
	for _, start := range o.s.HandleBatchPersisted(b.Number, m.now) {
		m.send(o, start)
	}
	m.take(o)
}

// send carries a start out, now, late or never, and answers it or not.
func (m *model) send(o *modelOwner, start StartRequest) {
	w := m.workers[start.Endpoint.WorkerID]
	fate := rapid.IntRange(0, 9).Draw(m.t, "fate")
	var err error
	switch {
	case w.cut || fate == 0:
		err = unknown()
	case fate == 1:
		w.late = append(w.late, start)
		err = unknown()
	case fate == 2:
		m.start(w, start)
		err = unknown()
	default:
		err = m.start(w, start)
	}
	o.s.HandleStartResponse(&start.Request, start.Endpoint.WorkerID, err, m.now)
	m.take(o)
}

func (m *model) start(w *modelWorker, start StartRequest) error {
	id := start.Request.Task
	switch {
	case start.Request.FencingToken < w.token:
		return refused(provider.CodeFenced)
	case start.Request.DeadlineMillis < m.now.UnixMilli():
		return refused(provider.CodeExpired)
	}
	w.token = start.Request.FencingToken
	w.lease = max(w.lease, start.Request.DeadlineMillis)
	if run, there := w.runs[id]; there {
		if run.attempt == start.Request.Attempt {
			return nil
		}
		return refused(provider.CodeSuperseded)
	}
	if start.Request.Attempt <= w.highest[id] {
		return refused(provider.CodeSuperseded)
	}
	for other, o := range m.workers {
		_, twice := o.runs[id]
		require.False(m.t, twice, "%s runs on %s and starts on %s", id, other, w.info.ID)
	}
	require.False(m.t, m.acked[id], "%s starts after an end that was acknowledged", id)
	w.runs[id] = &fakeRun{attempt: start.Request.Attempt, until: m.now.Add(300 * time.Millisecond)}
	require.LessOrEqual(m.t, len(w.runs), 2, "%s is over its room", w.info.ID)
	return nil
}

func (m *model) stop(o *modelOwner, stop StopRequest) {
	w := m.workers[stop.Endpoint.WorkerID]
	if w.cut || rapid.IntRange(0, 4).Draw(m.t, "stop") == 0 {
		o.s.HandleStopResponse(&stop, unknown(), m.now)
		return
	}
	if o.s.cfg.FencingToken < w.token {
		o.s.HandleStopResponse(&stop, refused(provider.CodeFenced), m.now)
		return
	}
	w.token = o.s.cfg.FencingToken
	w.highest[stop.Task] = max(w.highest[stop.Task], stop.Attempt)
	if run, there := w.runs[stop.Task]; there && run.attempt <= stop.Attempt {
		w.end(stop.Task, fleet.RunStopped)
	}
	o.s.HandleStopResponse(&stop, nil, m.now)
}

func (m *model) look(o *modelOwner, w *modelWorker) {
	order, known := o.s.PreparePoll(w.info.ID, m.now, !o.fenced)
	if !known {
		return
	}
	if w.cut {
		o.s.HandlePollFailure(w.info.ID, unknown(), m.now)
		m.take(o)
		return
	}
	if order.FencingToken < w.token {
		o.s.HandlePollFailure(w.info.ID, refused(provider.CodeFenced), m.now)
		return
	}
	w.token = order.FencingToken
	w.lease = max(w.lease, order.DeadlineMillis)
	kept := w.finished[:0]
	for _, end := range w.finished {
		if end.Number > order.RecordedThrough {
			kept = append(kept, end)
		} else if end.Outcome == fleet.RunDone && w.endedAt[end.Number].After(w.lapsedAt) {
			m.acked[end.Task] = true
		}
	}
	w.finished = kept
	look := fleet.WorkerStatus{ClockMillis: m.now.UnixMilli(), StartedAtMillis: 1, Finished: append([]fleet.FinishedRun(nil), w.finished...)}
	for id, run := range w.runs {
		look.Active = append(look.Active, fleet.ActiveRun{Task: id, Attempt: run.attempt, Percent: 50})
	}
	if rapid.IntRange(0, 7).Draw(m.t, "reply") == 0 {
		o.s.HandlePollFailure(w.info.ID, unknown(), m.now)
	} else {
		o.s.HandleStatus(w.info.ID, &look, m.now, m.now)
	}
	m.now = m.now.Add(time.Millisecond)
	m.take(o)
}

func playModel(wrong func(*Scheduler)) func(t *rapid.T) {
	return func(t *rapid.T) {
		m := newModel(t)
		m.wrong = wrong
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.step()
		}
	}
}

// TestModel_PromisesHold plays drawn schedules; -rapid.checks plays more.
func TestModel_PromisesHold(t *testing.T) {
	rapid.Check(t, playModel(nil))
}
