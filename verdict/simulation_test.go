package verdict

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The simulation has the size of one pool of the users' fleets.
const (
	simTargets        = 10
	simSlotsPerTarget = 4
	simJobs           = 200
	simTeams          = 3
	// simQuarantineBudget is the number of targets that may be quarantined at
	// once.
	simQuarantineBudget = 2
	// simMaxStarts bounds the starts of one job, as MaxInconclusiveFailures
	// does.
	simMaxStarts = 30
)

// faultMix is the fraction of each kind of fault in a simulation.
type faultMix struct {
	bad        float64
	impossible float64
	transient  float64
	// batch submits the impossible jobs of one team consecutively.
	batch bool
}

func (m faultMix) String() string {
	return fmt.Sprintf("bad=%.2f impossible=%.2f transient=%.2f batch=%t", m.bad, m.impossible, m.transient, m.batch)
}

// detectionRule classifies jobs and targets.
type detectionRule interface {
	add(a Attempt)
	impossible(job string) bool
	suspects() []string
}

// tally counts verdicts against the truth.
type tally struct {
	possible, impossible, good, bad int
	// wrongJobs are possible jobs that were ended as impossible, missedJobs
	// impossible ones that were not.
	wrongJobs, missedJobs int
	// wrongTargets are good targets that were quarantined, missedTargets bad
	// ones that never counted as bad.
	wrongTargets, missedTargets int
	starts                      int
}

func (t *tally) add(o tally) {
	t.possible += o.possible
	t.impossible += o.impossible
	t.good += o.good
	t.bad += o.bad
	t.wrongJobs += o.wrongJobs
	t.missedJobs += o.missedJobs
	t.wrongTargets += o.wrongTargets
	t.missedTargets += o.missedTargets
	t.starts += o.starts
}

type simJob struct {
	id, team   string
	impossible bool
	starts     int
	lastTarget int
}

type simStart struct {
	finishesAt time.Duration
	job        *simJob
	target     int
}

type startHeap []simStart

func (h startHeap) Len() int           { return len(h) }
func (h startHeap) Less(i, j int) bool { return h[i].finishesAt < h[j].finishesAt }
func (h startHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *startHeap) Push(x any)        { *h = append(*h, x.(simStart)) }
func (h *startHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is one pool with its jobs.
type simulation struct {
	rng         *rand.Rand
	mix         faultMix
	rule        detectionRule
	bad         [simTargets]bool
	flagged     [simTargets]bool
	quarantined [simTargets]bool
	running     startHeap
	load        [simTargets]int
	queue       []*simJob
	tally       tally
}

// runSimulation runs the seed's jobs under the rule.
func runSimulation(seed uint64, m faultMix, rule detectionRule) tally {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 4)), mix: m, rule: rule}
	for i := range s.bad {
		s.bad[i] = s.rng.Float64() < m.bad
	}
	s.makeJobs()
	now := time.Duration(0)
	for s.startJobs(now); len(s.running) > 0; s.startJobs(now) {
		next := heap.Pop(&s.running).(simStart)
		now = next.finishesAt
		s.finishStart(next)
	}
	for i, bad := range s.bad {
		switch {
		case bad:
			s.tally.bad++
			s.tally.missedTargets += boolToInt(!s.flagged[i])
		default:
			s.tally.good++
			s.tally.wrongTargets += boolToInt(s.flagged[i])
		}
	}
	return s.tally
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *simulation) makeJobs() {
	batch := int(s.mix.impossible * simJobs)
	for i := range simJobs {
		job := &simJob{id: fmt.Sprint(i), team: fmt.Sprint(s.rng.IntN(simTeams)), lastTarget: -1}
		job.impossible = s.rng.Float64() < s.mix.impossible
		if s.mix.batch {
			job.impossible = i < batch
			if job.impossible {
				job.team = "0"
			}
		}
		s.tally.impossible += boolToInt(job.impossible)
		s.tally.possible += boolToInt(!job.impossible)
		s.queue = append(s.queue, job)
	}
}

// startJobs fills the free slots, each with a random job of the next few.
func (s *simulation) startJobs(now time.Duration) {
	for len(s.queue) > 0 {
		i := s.rng.IntN(min(len(s.queue), simSlotsPerTarget))
		job := s.queue[i]
		target, ok := s.pickTarget(job)
		if !ok {
			return
		}
		s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
		duration := time.Duration(1+s.rng.IntN(10)) * time.Second
		if s.bad[target] || job.impossible {
			duration = 500 * time.Millisecond
		}
		job.starts++
		s.load[target]++
		s.tally.starts++
		heap.Push(&s.running, simStart{finishesAt: now + duration, job: job, target: target})
	}
}

func (s *simulation) pickTarget(job *simJob) (int, bool) {
	first := s.rng.IntN(simTargets)
	for i := range simTargets {
		target := (first + i) % simTargets
		if target != job.lastTarget && !s.quarantined[target] && s.load[target] < simSlotsPerTarget {
			return target, true
		}
	}
	return 0, false
}

func (s *simulation) finishStart(start simStart) {
	job := start.job
	s.load[start.target]--
	failed := s.bad[start.target] || job.impossible || s.rng.Float64() < s.mix.transient
	s.rule.add(Attempt{
		Job: job.id, Team: job.team, Target: fmt.Sprint(start.target), Failed: failed, At: time.Unix(0, 0).Add(start.finishesAt),
	})
	if !failed {
		return
	}
	s.quarantineSuspects()
	switch {
	case s.rule.impossible(job.id):
		s.tally.wrongJobs += boolToInt(!job.impossible)
	case job.starts >= simMaxStarts:
		s.tally.missedJobs += boolToInt(job.impossible)
	default:
		job.lastTarget = start.target
		s.queue = append(s.queue, job)
	}
}

// quarantineSuspects quarantines bad targets within the budget.
func (s *simulation) quarantineSuspects() {
	quarantined := 0
	for _, isQuarantined := range s.quarantined {
		quarantined += boolToInt(isQuarantined)
	}
	for _, id := range s.rule.suspects() {
		var target int
		_, _ = fmt.Sscan(id, &target)
		s.flagged[target] = true
		if !s.quarantined[target] && quarantined < simQuarantineBudget {
			s.quarantined[target] = true
			quarantined++
		}
	}
}
