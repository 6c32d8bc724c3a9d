package verdict

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The schedule's size is one pool of the users' fleets.
const (
	scheduleTargets = 10
	scheduleSlots   = 4
	scheduleJobs    = 200
	scheduleTeams   = 3
	// scheduleBudget is the number of targets that may be quarantined at once.
	scheduleBudget = 2
	// scheduleStarts bounds the starts of one job, as MaxOpenFailures does.
	scheduleStarts = 30
)

// mix is what is wrong in a schedule, each as a part of all.
type mix struct {
	bad        float64
	impossible float64
	transient  float64
	// batch puts the impossible jobs of one team one after the other.
	batch bool
}

func (m mix) String() string {
	return fmt.Sprintf("bad=%.2f impossible=%.2f transient=%.2f batch=%t", m.bad, m.impossible, m.transient, m.batch)
}

// judge is a rule that gives verdicts.
type judge interface {
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
	last       int
}

type simStart struct {
	at     time.Duration
	job    *simJob
	target int
}

type startHeap []simStart

func (h startHeap) Len() int           { return len(h) }
func (h startHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h startHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *startHeap) Push(x any)        { *h = append(*h, x.(simStart)) }
func (h *startHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// schedule is one pool with its jobs.
type schedule struct {
	rng     *rand.Rand
	mix     mix
	judge   judge
	bad     [scheduleTargets]bool
	flagged [scheduleTargets]bool
	out     [scheduleTargets]bool
	running startHeap
	load    [scheduleTargets]int
	queue   []*simJob
	tally   tally
}

// runSchedule carries the jobs of the seed's schedule out under the judge.
func runSchedule(seed uint64, m mix, j judge) tally {
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 4)), mix: m, judge: j}
	for i := range s.bad {
		s.bad[i] = s.rng.Float64() < m.bad
	}
	s.makeJobs()
	now := time.Duration(0)
	for s.place(now); len(s.running) > 0; s.place(now) {
		next := heap.Pop(&s.running).(simStart)
		now = next.at
		s.end(next)
	}
	for i, bad := range s.bad {
		switch {
		case bad:
			s.tally.bad++
			s.tally.missedTargets += one(!s.flagged[i])
		default:
			s.tally.good++
			s.tally.wrongTargets += one(s.flagged[i])
		}
	}
	return s.tally
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *schedule) makeJobs() {
	batch := int(s.mix.impossible * scheduleJobs)
	for i := range scheduleJobs {
		job := &simJob{id: fmt.Sprint(i), team: fmt.Sprint(s.rng.IntN(scheduleTeams)), last: -1}
		job.impossible = s.rng.Float64() < s.mix.impossible
		if s.mix.batch {
			job.impossible = i < batch
			if job.impossible {
				job.team = "0"
			}
		}
		s.tally.impossible += one(job.impossible)
		s.tally.possible += one(!job.impossible)
		s.queue = append(s.queue, job)
	}
}

// place fills the free slots, each with a random job of the next few.
func (s *schedule) place(now time.Duration) {
	for len(s.queue) > 0 {
		i := s.rng.IntN(min(len(s.queue), scheduleSlots))
		job := s.queue[i]
		target, ok := s.pick(job)
		if !ok {
			return
		}
		s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
		length := time.Duration(1+s.rng.IntN(10)) * time.Second
		if s.bad[target] || job.impossible {
			length = 500 * time.Millisecond
		}
		job.starts++
		s.load[target]++
		s.tally.starts++
		heap.Push(&s.running, simStart{at: now + length, job: job, target: target})
	}
}

func (s *schedule) pick(job *simJob) (int, bool) {
	first := s.rng.IntN(scheduleTargets)
	for i := range scheduleTargets {
		target := (first + i) % scheduleTargets
		if target != job.last && !s.out[target] && s.load[target] < scheduleSlots {
			return target, true
		}
	}
	return 0, false
}

func (s *schedule) end(start simStart) {
	job := start.job
	s.load[start.target]--
	failed := s.bad[start.target] || job.impossible || s.rng.Float64() < s.mix.transient
	s.judge.add(Attempt{
		Job: job.id, Team: job.team, Target: fmt.Sprint(start.target), Failed: failed, At: time.Unix(0, 0).Add(start.at),
	})
	if !failed {
		return
	}
	s.quarantine()
	switch {
	case s.judge.impossible(job.id):
		s.tally.wrongJobs += one(!job.impossible)
	case job.starts >= scheduleStarts:
		s.tally.missedJobs += one(job.impossible)
	default:
		job.last = start.target
		s.queue = append(s.queue, job)
	}
}

// quarantine takes bad targets out of service within the budget.
func (s *schedule) quarantine() {
	quarantined := 0
	for _, out := range s.out {
		quarantined += one(out)
	}
	for _, id := range s.judge.suspects() {
		var target int
		_, _ = fmt.Sscan(id, &target)
		s.flagged[target] = true
		if !s.out[target] && quarantined < scheduleBudget {
			s.out[target] = true
			quarantined++
		}
	}
}
