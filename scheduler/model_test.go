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

// model runs several leaders and workers with requests that are lost, delayed and
// repeated, in an order that rapid draws. It checks that no task runs twice at once,
// that none starts after its success was acknowledged, and that no worker exceeds its
// capacity.
type model struct {
	t            *rapid.T
	now          time.Time
	view         *ledger.View
	subs         []*fleet.Submission
	leaders      []*modelLeader
	workers      map[string]*modelWorker
	acknowledged map[fleet.TaskID]bool
	// mutate disables one mechanism, for tests of the model itself.
	mutate func(*Scheduler)
}

type modelLeader struct {
	s       *Scheduler
	batches []Batch
	fenced  bool
}

type modelWorker struct {
	info           fleet.Worker
	token          int64
	lease          int64
	runs           map[fleet.TaskID]*fakeRun
	highestAttempt map[fleet.TaskID]int
	finished       []fleet.FinishedRun
	finishedCount  int64
	delayed        []StartRequest
	partitioned    bool
	// endedAt is when each run ended, leaseExpiredAt when the lease last expired: an
	// outcome from before that does not count as acknowledged.
	endedAt        map[int64]time.Time
	leaseExpiredAt time.Time
	now            time.Time
}

const modelLease = 2 * time.Second

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.UnixMilli(1_700_000_000_000), view: ledger.NewView(), workers: map[string]*modelWorker{}, acknowledged: map[fleet.TaskID]bool{}}
	for i := range 3 {
		id := fmt.Sprintf("w-%d", i)
		m.workers[id] = &modelWorker{
			info: fleet.Worker{ID: id, Address: "a", Pool: testPool, Labels: []string{"a", "r"}, Capacity: fleet.Resources{MilliCPU: 2000, MemMB: 10}, StartedAtMillis: 1},
			runs: map[fleet.TaskID]*fakeRun{}, highestAttempt: map[fleet.TaskID]int{}, endedAt: map[int64]time.Time{},
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

// takeOver fences the ledger against the previous leader and starts a new term.
func (m *model) takeOver() {
	for _, leader := range m.leaders {
		leader.fenced = true
	}
	successor := &modelLeader{s: New(Config{FencingToken: int64(len(m.leaders) + 1), LeaseDuration: modelLease, PreviousLeaderLease: modelLeaderLease + modelLease}, m.now)}
	successor.s.SetManifest(testManifest())
	successor.s.SetWorkers(m.list(), m.now)
	for _, j := range m.view.Jobs {
		successor.s.RestoreJob(j, m.now)
	}
	if m.mutate != nil {
		m.mutate(successor.s)
	}
	m.leaders = append(m.leaders, successor)
}

// modelLeaderLease is for how long a fenced leader may still send what it had stored.
const modelLeaderLease = time.Second

func (m *model) step() {
	leader := m.leaders[len(m.leaders)-1]
	if rapid.IntRange(0, 9).Draw(m.t, "leader") == 0 && len(m.leaders) > 1 {
		leader = m.leaders[len(m.leaders)-2]
	}
	w := m.workers[fmt.Sprintf("w-%d", rapid.IntRange(0, 2).Draw(m.t, "worker"))]
	switch rapid.IntRange(0, 13).Draw(m.t, "step") {
	case 0, 1:
		m.advance(time.Duration(rapid.IntRange(20, 400).Draw(m.t, "ms")) * time.Millisecond)
	case 2, 3, 4:
		leader.s.Place(m.now)
		m.takeBatch(leader)
	case 5, 6:
		m.storeBatch(leader)
	case 7, 8, 9:
		m.poll(leader, w)
	case 10:
		leader.s.Tick(m.now)
		m.takeBatch(leader)
	case 11:
		w.partitioned = !w.partitioned
	case 12:
		if rapid.IntRange(0, 3).Draw(m.t, "takeover") == 0 {
			m.takeOver()
		}
	case 13:
		if len(w.delayed) > 0 {
			m.start(w, w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	}
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		w.now = m.now
		if w.lease < m.now.UnixMilli() {
			w.leaseExpiredAt = m.now
		}
		for id, run := range w.runs {
			switch {
			case w.lease < m.now.UnixMilli():
				w.finishRun(id, fleet.RunLeaseExpired)
			case !m.now.Before(run.until):
				w.finishRun(id, fleet.RunDone)
			}
		}
	}
}

func (w *modelWorker) finishRun(id fleet.TaskID, outcome fleet.RunOutcome) {
	w.finishedCount++
	w.endedAt[w.finishedCount] = w.now
	w.highestAttempt[id] = max(w.highestAttempt[id], w.runs[id].attempt)
	w.finished = append(w.finished, fleet.FinishedRun{Number: w.finishedCount, Task: id, Attempt: w.runs[id].attempt, Outcome: outcome})
	delete(w.runs, id)
}

func (m *model) takeBatch(leader *modelLeader) {
	b := leader.s.TakeBatch()
	for i := range b.Stops {
		m.stop(leader, b.Stops[i])
	}
	if b.NeedsPersisting() {
		leader.batches = append(leader.batches, b)
	}
}

// storeBatch stores the leader's oldest batch, unless a later leader has taken over.
func (m *model) storeBatch(leader *modelLeader) {
	if len(leader.batches) == 0 || leader.fenced {
		return
	}
	b := leader.batches[0]
	leader.batches = leader.batches[1:]
	for _, r := range b.Records {
		require.NoError(m.t, m.view.Apply(r))
	}
	for _, start := range leader.s.HandleBatchPersisted(b.Number, m.now) {
		m.sendStart(leader, start)
	}
	m.takeBatch(leader)
}

// sendStart executes a start now, later or never, and may lose the response.
func (m *model) sendStart(leader *modelLeader, start StartRequest) {
	w := m.workers[start.Endpoint.WorkerID]
	delivery := rapid.IntRange(0, 9).Draw(m.t, "delivery")
	var err error
	switch {
	case w.partitioned || delivery == 0:
		err = unknownOutcome()
	case delivery == 1:
		w.delayed = append(w.delayed, start)
		err = unknownOutcome()
	case delivery == 2:
		m.start(w, start)
		err = unknownOutcome()
	default:
		err = m.start(w, start)
	}
	leader.s.HandleStartResponse(&start.Request, start.Endpoint, err, m.now)
	m.takeBatch(leader)
}

func (m *model) start(w *modelWorker, start StartRequest) error {
	id := start.Request.Task
	switch {
	case start.Request.FencingToken < w.token:
		return refusedWith(provider.CodeFenced)
	case start.Request.DeadlineMillis < m.now.UnixMilli():
		return refusedWith(provider.CodeDeadlineExceeded)
	}
	w.token = start.Request.FencingToken
	w.lease = max(w.lease, start.Request.DeadlineMillis)
	if run, exists := w.runs[id]; exists {
		if run.attempt == start.Request.Attempt {
			return nil
		}
		return refusedWith(provider.CodeSuperseded)
	}
	if start.Request.Attempt <= w.highestAttempt[id] {
		return refusedWith(provider.CodeSuperseded)
	}
	for other, o := range m.workers {
		_, duplicate := o.runs[id]
		require.False(m.t, duplicate, "%s runs on %s and starts on %s", id, other, w.info.ID)
	}
	require.False(m.t, m.acknowledged[id], "%s starts after its success was acknowledged", id)
	w.runs[id] = &fakeRun{attempt: start.Request.Attempt, until: m.now.Add(300 * time.Millisecond)}
	require.LessOrEqual(m.t, len(w.runs), 2, "%s exceeds its capacity", w.info.ID)
	return nil
}

func (m *model) stop(leader *modelLeader, stop StopRequest) {
	w := m.workers[stop.Endpoint.WorkerID]
	if w.partitioned || rapid.IntRange(0, 4).Draw(m.t, "stop") == 0 {
		leader.s.HandleStopResponse(&stop, unknownOutcome(), m.now)
		return
	}
	if leader.s.cfg.FencingToken < w.token {
		leader.s.HandleStopResponse(&stop, refusedWith(provider.CodeFenced), m.now)
		return
	}
	w.token = leader.s.cfg.FencingToken
	w.highestAttempt[stop.Task] = max(w.highestAttempt[stop.Task], stop.Attempt)
	if run, exists := w.runs[stop.Task]; exists && run.attempt <= stop.Attempt {
		w.finishRun(stop.Task, fleet.RunStopped)
	}
	leader.s.HandleStopResponse(&stop, nil, m.now)
}

func (m *model) poll(leader *modelLeader, w *modelWorker) {
	request, known := leader.s.PreparePoll(w.info.ID, m.now, !leader.fenced)
	if !known {
		return
	}
	if w.partitioned {
		leader.s.HandlePollFailure(leader.s.workers[w.info.ID].endpoint(), unknownOutcome(), m.now)
		m.takeBatch(leader)
		return
	}
	if request.FencingToken < w.token {
		leader.s.HandlePollFailure(leader.s.workers[w.info.ID].endpoint(), refusedWith(provider.CodeFenced), m.now)
		return
	}
	w.token = request.FencingToken
	w.lease = max(w.lease, request.DeadlineMillis)
	unacknowledged := w.finished[:0]
	for _, finished := range w.finished {
		if finished.Number > request.RecordedThrough {
			unacknowledged = append(unacknowledged, finished)
		} else if finished.Outcome == fleet.RunDone && w.endedAt[finished.Number].After(w.leaseExpiredAt) {
			m.acknowledged[finished.Task] = true
		}
	}
	w.finished = unacknowledged
	status := fleet.WorkerStatus{ClockMillis: m.now.UnixMilli(), StartedAtMillis: 1, Finished: append([]fleet.FinishedRun(nil), w.finished...)}
	for id, run := range w.runs {
		status.Active = append(status.Active, fleet.ActiveRun{Task: id, Attempt: run.attempt, Percent: 50})
	}
	if rapid.IntRange(0, 7).Draw(m.t, "reply") == 0 {
		leader.s.HandlePollFailure(leader.s.workers[w.info.ID].endpoint(), unknownOutcome(), m.now)
	} else {
		leader.s.HandleStatus(w.info.ID, &status, m.now, m.now)
	}
	m.now = m.now.Add(time.Millisecond)
	m.takeBatch(leader)
}

func checkModel(mutate func(*Scheduler)) func(t *rapid.T) {
	return func(t *rapid.T) {
		m := newModel(t)
		m.mutate = mutate
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.step()
		}
	}
}

// TestModel_GuaranteesHold checks drawn schedules; -rapid.checks checks more.
func TestModel_GuaranteesHold(t *testing.T) {
	rapid.Check(t, checkModel(nil))
}
