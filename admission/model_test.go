package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// policy is the way in which a model's entries serve.
type policy int

const (
	// firstCome serves in order of arrival until the caller has gone.
	firstCome policy = iota
	// ownView runs the line of each entry on its own demand and an even part of
	// the capacity.
	ownView
	// exchanged runs the line on the demand of all entries.
	exchanged
)

const (
	modelTick      = time.Millisecond
	modelInterval  = 100 * time.Millisecond
	modelHeartbeat = 250 * time.Millisecond
	modelPatience  = 2 * time.Second
	modelTurnover  = 2 * time.Millisecond
	modelTransfer  = 8 * time.Millisecond
)

// model is a fleet of equal slots and the entries that share it, in steps of
// modelTick. Only the line and the parts decide; arrivals, run times and the
// heartbeats' delay are the model's.
type model struct {
	policy   policy
	capacity int
	entries  int
	teams    []Entitlement
	// load is the mean offered load as a part of the capacity.
	load float64
	// rotating makes the demand of each team five times its mean for seconds
	// and a twentieth between.
	rotating bool
	// skewed sends half of each team's requests through one entry.
	skewed bool
	// tell rounds a waiting load for the heartbeat.
	tell func(waiting float64) float64
	// turnover is the time that a task holds its slot before and after it runs.
	turnover time.Duration
	// transfer is the time until another entry finds a slot that is given back.
	transfer time.Duration
	// meanRun is the mean run time. Single run times differ ten-fold.
	meanRun time.Duration

	rng   *rand.Rand
	now   time.Time
	nodes []*node
	free  int
	ends  map[int64][]end
	// found counts the slots that are found free at a time.
	found   map[int64]int
	jobs    map[*Waiter]time.Duration
	results results
	windows []window10
}

// node is one entry of the model.
type node struct {
	line    *WaitQueue
	running map[string]int
	// idle counts the tasks of running that hold a slot and do not run.
	idle  map[string]int
	held  int
	loads []Load
	sent  []Load
	queue []*Waiter
}

type end struct {
	node *node
	team string
	took time.Duration
	// ran is set for the end of the run itself, before the turnover.
	ran bool
}

// results counts what became of the requests.
type results struct {
	arrived, inTime, wasted, refused int
}

// window10 holds a window's slot time by team, used and owed.
type window10 struct{ used, owed []float64 }

func newModel(m model, seed uint64) *model {
	m.rng = rand.New(rand.NewPCG(seed, 1))
	m.now = time.Unix(1e9, 0)
	m.free = m.capacity
	m.ends = make(map[int64][]end)
	m.found = make(map[int64]int)
	m.jobs = make(map[*Waiter]time.Duration)
	for range m.entries {
		n := &node{running: make(map[string]int), idle: make(map[string]int)}
		n.line = NewWaitQueue(Config{
			MaxWaitingPerTeam: DefaultMaxWaitingPerTeam, MaxWait: DefaultMaxWait, RunTimeQuantile: DefaultRunTimeQuantile,
			Running: func(team string) int { return n.running[team] },
		})
		for _, t := range m.teams {
			n.line.TrackTeam(t.Team)
		}
		m.nodes = append(m.nodes, n)
	}
	return &m
}

// told returns the loads as a heartbeat tells them.
func (m *model) told(loads []Load) []Load {
	out := slices.Clone(loads)
	for i := range out {
		out[i].Waiting = m.tell(out[i].Waiting)
	}
	return out
}

// run lets the model run and counts results after the warm-up.
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
	for _, e := range m.ends[m.now.UnixMilli()] {
		m.finish(e)
	}
	delete(m.ends, m.now.UnixMilli())
	m.free += m.found[m.now.UnixMilli()]
	delete(m.found, m.now.UnixMilli())
	if at%modelHeartbeat == 0 {
		for _, n := range m.nodes {
			n.sent = m.told(n.loads)
		}
	}
	if at%modelInterval == 0 {
		for _, n := range m.nodes {
			n.line.DropLate(m.now)
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
		m.pump(m.nodes[(offset+i)%len(m.nodes)])
	}
	m.account(at)
}

// entryOf draws the entry of a team's next request.
func (m *model) entryOf(team int) int {
	if m.skewed && m.rng.IntN(2) == 0 {
		return team % len(m.nodes)
	}
	return m.rng.IntN(len(m.nodes))
}

// rate returns the arrivals a second of a team.
func (m *model) rate(team int, at time.Duration) float64 {
	mean := m.load * float64(m.capacity) * m.weight(team) / m.meanRun.Seconds()
	if !m.rotating {
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
	req := Request{Team: team, Queue: team, Deadline: m.now.Add(modelPatience)}
	took := m.runTime()
	if m.policy == firstCome {
		w := &Waiter{Request: req}
		m.jobs[w] = took
		n.queue = append(n.queue, w)
		return
	}
	if m.free > 0 && m.underLimit(team) && n.line.MayBypass(team) && n.line.CanMeetDeadline(m.now, req) {
		m.start(n, team, took, req.Deadline)
		return
	}
	w, refusal := n.line.Enqueue(m.now, req)
	if refusal != nil {
		m.results.refused++
		return
	}
	m.jobs[w] = took
}

// underLimit reports whether the team may run one more over all entries.
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

func (m *model) pumpFirstCome(n *node) {
	for len(n.queue) > 0 && m.free > 0 {
		w := n.queue[0]
		if m.now.Before(w.Deadline) && !m.underLimit(w.Team) {
			return
		}
		n.queue = n.queue[1:]
		if m.now.Before(w.Deadline) {
			m.start(n, w.Team, m.jobs[w], w.Deadline)
		}
		delete(m.jobs, w)
	}
}

// exchange computes the parts from the own load and the others' last one.
func (m *model) exchange() {
	for _, n := range m.nodes {
		n.loads = n.line.Loads(m.now, modelInterval)
	}
	for i, n := range m.nodes {
		if m.policy == ownView {
			p := ComputeEntryShare(float64(m.capacity)/float64(m.entries), m.teams, n.loads, nil)
			p.OthersWaiting = true
			n.line.SetEntryShare(p)
			continue
		}
		var others [][]Load
		for j, other := range m.nodes {
			if j != i {
				others = append(others, other.sent)
			}
		}
		n.line.SetEntryShare(ComputeEntryShare(float64(m.capacity), m.teams, n.loads, others))
	}
}
