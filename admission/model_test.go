package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// policy is the order in which the entries serve requests.
type policy int

const (
	// firstComeFirstServed serves in order of arrival until the timeout.
	firstComeFirstServed policy = iota
	// localLoads uses wait queues with each entry's own demand and an even part
	// of the capacity.
	localLoads
	// exchangedLoads uses wait queues with the demand of all entries.
	exchangedLoads
)

const (
	modelTick      = time.Millisecond
	modelInterval  = 100 * time.Millisecond
	modelHeartbeat = 250 * time.Millisecond
	modelTimeout   = 2 * time.Second
	modelTurnover  = 2 * time.Millisecond
	modelTransfer  = 8 * time.Millisecond
)

// model simulates a fleet of equal slots and the entries that share it, in
// steps of modelTick. Admission is the code under test; arrivals, run times and
// heartbeat delays are simulated.
type model struct {
	policy   policy
	capacity int
	entries  int
	teams    []Entitlement
	// load is the mean offered load as a fraction of the capacity.
	load float64
	// bursty makes the demand of each team five times its mean for seconds and
	// a twentieth in between.
	bursty bool
	// skewed sends half of each team's requests through one entry.
	skewed bool
	// roundWaiting rounds a waiting load for the heartbeat.
	roundWaiting func(waiting float64) float64
	// turnover is how long a task holds its slot before and after it runs.
	turnover time.Duration
	// transfer is the time until another entry finds a released slot.
	transfer time.Duration
	// meanRun is the mean run time. Individual run times vary ten-fold.
	meanRun time.Duration

	rng         *rand.Rand
	now         time.Time
	nodes       []*node
	free        int
	completions map[int64][]completion
	// slotsFreedAt counts the slots that become available at a time.
	slotsFreedAt map[int64]int
	runTimes     map[*Waiter]time.Duration
	results      results
	windows      []usageWindow
}

// node is one entry of the model.
type node struct {
	waitQueue *WaitQueue
	running   map[string]int
	// idle counts the tasks of running that hold a slot but do not run.
	idle      map[string]int
	heldSlots int
	loads     []Load
	sent      []Load
	queue     []*Waiter
}

type completion struct {
	node *node
	team string
	took time.Duration
	// ran is set for the completion of the run itself, before the turnover.
	ran bool
}

// results counts the requests by result.
type results struct {
	arrived, inTime, wasted, refused int
}

// usageWindow holds a window's slot time by team, used and fair.
type usageWindow struct{ used, fairSlots []float64 }

func newModel(m model, seed uint64) *model {
	m.rng = rand.New(rand.NewPCG(seed, 1))
	m.now = time.Unix(1e9, 0)
	m.free = m.capacity
	m.completions = make(map[int64][]completion)
	m.slotsFreedAt = make(map[int64]int)
	m.runTimes = make(map[*Waiter]time.Duration)
	for range m.entries {
		n := &node{running: make(map[string]int), idle: make(map[string]int)}
		n.waitQueue = NewWaitQueue(Config{
			MaxWaitingPerTeam: DefaultMaxWaitingPerTeam, MaxWait: DefaultMaxWait, RunTimeQuantile: DefaultRunTimeQuantile,
			Running: func(team string) int { return n.running[team] },
		})
		for _, t := range m.teams {
			n.waitQueue.TrackTeam(t.Team)
		}
		m.nodes = append(m.nodes, n)
	}
	return &m
}

// heartbeatLoads returns the loads as sent in a heartbeat.
func (m *model) heartbeatLoads(loads []Load) []Load {
	out := slices.Clone(loads)
	for i := range out {
		out[i].Waiting = m.roundWaiting(out[i].Waiting)
	}
	return out
}

// run runs the model and counts results after the warm-up.
func (m *model) run(warmUp, length time.Duration) {
	for at := time.Duration(0); at < warmUp+length; at += modelTick {
		if at == warmUp {
			m.results = results{}
			m.windows = nil
		}
		m.step(at)
		m.now = m.now.Add(modelTick)
	}
}

func (m *model) step(at time.Duration) {
	for _, e := range m.completions[m.now.UnixMilli()] {
		m.finish(e)
	}
	delete(m.completions, m.now.UnixMilli())
	m.free += m.slotsFreedAt[m.now.UnixMilli()]
	delete(m.slotsFreedAt, m.now.UnixMilli())
	if at%modelHeartbeat == 0 {
		for _, n := range m.nodes {
			n.sent = m.heartbeatLoads(n.loads)
		}
	}
	if at%modelInterval == 0 {
		for _, n := range m.nodes {
			n.waitQueue.DropLate(m.now)
		}
		m.exchange()
	}
	for i := range m.teams {
		for range m.poisson(m.rate(i, at) * modelTick.Seconds()) {
			m.arrive(m.nodes[m.entryOf(i)], m.teams[i].Team)
		}
	}
	offset := m.rng.IntN(len(m.nodes))
	for i := range m.nodes {
		m.dispatch(m.nodes[(offset+i)%len(m.nodes)])
	}
	m.recordUsage(at)
}

// entryOf draws the entry of a team's next request.
func (m *model) entryOf(team int) int {
	if m.skewed && m.rng.IntN(2) == 0 {
		return team % len(m.nodes)
	}
	return m.rng.IntN(len(m.nodes))
}

// rate returns a team's arrivals per second.
func (m *model) rate(team int, at time.Duration) float64 {
	mean := m.load * float64(m.capacity) * m.weight(team) / m.meanRun.Seconds()
	if !m.bursty {
		return mean
	}
	const burst = (1 - 0.05) / (5 - 0.05)
	period := 11*time.Second + time.Duration(team)*1700*time.Millisecond
	if at%period < time.Duration(burst*float64(period)) {
		return 5 * mean
	}
	return mean / 20
}

func (m *model) weight(team int) float64 {
	total := 0.0
	for _, t := range m.teams {
		total += t.Weight
	}
	return m.teams[team].Weight / total
}

func (m *model) poisson(mean float64) int {
	limit, product, count := math.Exp(-mean), m.rng.Float64(), 0
	for product > limit {
		product *= m.rng.Float64()
		count++
	}
	return count
}

// runTime draws a run time from a ten-fold range.
func (m *model) runTime() time.Duration {
	const meanOfRange = 0.9 * 10 / 2.302585 / 10
	factor := math.Pow(10, m.rng.Float64()-1)
	return time.Duration(float64(m.meanRun) * factor / meanOfRange).Round(modelTick)
}

func (m *model) arrive(n *node, team string) {
	m.results.arrived++
	req := Request{Team: team, Queue: team, Deadline: m.now.Add(modelTimeout)}
	took := m.runTime()
	if m.policy == firstComeFirstServed {
		w := &Waiter{Request: req}
		m.runTimes[w] = took
		n.queue = append(n.queue, w)
		return
	}
	if m.free > 0 && m.underLimit(team) && n.waitQueue.MayBypass(team) && n.waitQueue.CanMeetDeadline(m.now, req) {
		m.start(n, team, took, req.Deadline)
		return
	}
	w, refusal := n.waitQueue.Enqueue(m.now, req)
	if refusal != nil {
		m.results.refused++
		return
	}
	m.runTimes[w] = took
}

// underLimit reports whether the team may run one more task over all entries.
func (m *model) underLimit(team string) bool {
	running, limit := 0, 0.0
	for _, n := range m.nodes {
		running += n.running[team]
	}
	for _, t := range m.teams {
		if t.Team == team {
			limit = t.Limit
		}
	}
	return float64(running) < limit
}

func (m *model) dispatchFirstCome(n *node) {
	for len(n.queue) > 0 && m.free > 0 {
		w := n.queue[0]
		if m.now.Before(w.Deadline) && !m.underLimit(w.Team) {
			return
		}
		n.queue = n.queue[1:]
		if m.now.Before(w.Deadline) {
			m.start(n, w.Team, m.runTimes[w], w.Deadline)
		}
		delete(m.runTimes, w)
	}
}

// exchange computes the shares from the own load and the last heartbeats.
func (m *model) exchange() {
	for _, n := range m.nodes {
		n.loads = n.waitQueue.Loads(m.now, modelInterval)
	}
	for i, n := range m.nodes {
		if m.policy == localLoads {
			p := ComputeEntryShare(float64(m.capacity)/float64(m.entries), m.teams, n.loads, nil)
			p.OthersWaiting = true
			n.waitQueue.SetEntryShare(p)
			continue
		}
		var others [][]Load
		for j, other := range m.nodes {
			if j != i {
				others = append(others, other.sent)
			}
		}
		n.waitQueue.SetEntryShare(ComputeEntryShare(float64(m.capacity), m.teams, n.loads, others))
	}
}
