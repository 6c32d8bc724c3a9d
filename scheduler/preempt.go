package scheduler

import (
	"fmt"
	"time"
)

const (
	// preemptionInterval is the least time between two looks for work that must be
	// stopped: a stop takes several times as long to free room.
	preemptionInterval = 50 * time.Millisecond
	// startDelay is the time from the end of a run to the start of the next in its
	// place: the report of the end, a round of placement and an append to the store.
	startDelay = 100 * time.Millisecond
	// nominationMargin is how much longer than a stop room is kept for the task that it
	// is freed for: a stop that got no answer is repeated after stopRetryDelay, and a
	// worker that does not answer by then is not waited for.
	nominationMargin = 500 * time.Millisecond
)

// preempt stops runs for steps that can be on time and found no room, if they would be
// late by the time at which enough running tasks end by themselves.
//
// It answers a pool that is full of work which has become late while it ran or waited,
// beside arrivals that can still be on time, and urgent jobs that come at once to a pool
// full of others. A step gets room for all its waiting tasks or none: its job is late
// with its last one.
func (s *Scheduler) preempt(steps []rankedStep, pools map[string]*poolRound, now time.Time) {
	if now.Sub(s.preemptedAt) < preemptionInterval || !s.stabilized(now) {
		return
	}
	s.preemptedAt = now
	crowded := map[string]*crowdedPool{}
	for _, r := range steps {
		st := r.step
		name := st.occurrence.job.queue.Pool
		pool := pools[name]
		if st.waiting == 0 || !s.mayPreempt(r, pool) {
			continue
		}
		c, known := crowded[name]
		if !known {
			c = s.newCrowdedPool(pool, now)
			crowded[name] = c
		}
		c.freeRoomFor(r)
	}
}

// mayPreempt reports whether other work may be stopped for the step: it can be on time,
// waits for nothing but room, and its team is within its share and its limit.
func (s *Scheduler) mayPreempt(r rankedStep, pool *poolRound) bool {
	st := r.step
	def, j := st.def, st.occurrence.job
	if r.rank.class != classOnTime && r.rank.class != classTight {
		return false
	}
	if def.LongRunning || def.Gang || def.BestEffort || def.RackLocal || j.queue.NeedsTicket {
		return false
	}
	return j.hasTeamCapacityFor(def.Need) && !pool.shares.exceeded(j.team, s.shortUse[poolTeam{j.queue.Pool, j.team}])
}

// crowdedPool is a pool in which steps that can be on time wait for room.
type crowdedPool struct {
	s        *Scheduler
	now      time.Time
	releases releases
	workers  []*crowdedWorker
	// demand is the CPU of the steps looked at so far, in millicores, most urgent first.
	demand int64
	// slack is how long each occurrence may still be held up and be on time.
	slack map[*occurrence]time.Duration
	// failed is set once there was no room for tasks of failedNeed millicores and
	// failedPriority: it is not looked for again for many steps that ask for as much.
	failed         bool
	failedNeed     int64
	failedPriority int
}

func (s *Scheduler) newCrowdedPool(pool *poolRound, now time.Time) *crowdedPool {
	c := &crowdedPool{s: s, now: now, slack: map[*occurrence]time.Duration{}}
	for _, w := range pool.workers {
		for _, t := range w.tasks {
			if !t.step.def.LongRunning && !t.step.def.BestEffort {
				c.releases.add(s.endOf(t, now), t.step.def.Need.MilliCPU)
			}
		}
		c.workers = append(c.workers, &crowdedWorker{worker: w, room: w.roomToCome(now)})
	}
	c.releases.sort()
	return c
}

// freeRoomFor stops runs for the step if it would start too late otherwise.
func (c *crowdedPool) freeRoomFor(r rankedStep) {
	st := r.step
	need := st.def.Need.MilliCPU
	c.demand += int64(st.waiting) * need
	o := st.occurrence
	slack := o.deadline().Sub(c.now.Add(o.remainingCriticalPath()))
	if slack < c.s.cfg.MaxStopTime+startDelay {
		return // No stop frees room in time.
	}
	unmet := c.demand - c.releases.until(c.now.Add(slack-startDelay))
	if unmet <= 0 || need == 0 {
		return
	}
	count := min(int64(st.waiting), (unmet+need-1)/need)
	waits := c.waitingWithoutRoom(st, int(count))
	if len(waits) == 0 {
		return
	}
	if c.failed && need >= c.failedNeed && r.rank.priority >= c.failedPriority {
		return
	}
	rooms := c.findRooms(r, waits, c.now.Add(slack))
	if rooms == nil {
		c.failed, c.failedNeed, c.failedPriority = true, need, r.rank.priority
		return
	}
	for i, room := range rooms {
		c.stopAndNominate(waits[i], room, slack)
	}
}

// waitingWithoutRoom returns at most count waiting tasks of the step for which no room is
// being freed.
func (c *crowdedPool) waitingWithoutRoom(st *step, count int) []*task {
	var out []*task
	for _, t := range st.tasks {
		if t.phase != waiting || t.strays > 0 {
			continue
		}
		if t.isNominated(c.now) {
			count--
		} else {
			out = append(out, t)
		}
	}
	return out[:max(0, min(count, len(out)))]
}

// stopAndNominate stops the runs in the way and keeps the room for the task.
func (c *crowdedPool) stopAndNominate(t *task, room freedRoom, slack time.Duration) {
	for _, victim := range room.victims {
		left := c.s.expectedEnd(victim, c.now).Sub(c.now)
		c.releases.add(c.now.Add(c.s.cfg.MaxStopTime), victim.step.def.Need.MilliCPU)
		c.s.countPreemption(victim, c.now)
		c.s.stopForOthers(victim, "task.preempted", fmt.Sprintf("for %s, which has %d ms of slack; the task has %d ms left, a stop takes at most %d ms; %s",
			t.id, slack.Milliseconds(), left.Milliseconds(), c.s.cfg.MaxStopTime.Milliseconds(), c.stateOf(victim)), c.now)
	}
	c.releases.sort()
	c.s.nominate(t, room.worker.worker, c.now)
}

// stateOf tells why the task may be stopped.
func (c *crowdedPool) stateOf(t *task) string {
	if slack := c.slackOf(t.step.occurrence); slack >= 0 {
		return fmt.Sprintf("its queue comes later, and it has %d ms of slack", slack.Milliseconds())
	}
	return "it can only be late"
}

// slackOf returns how long the occurrence may be held up and be on time.
func (c *crowdedPool) slackOf(o *occurrence) time.Duration {
	slack, known := c.slack[o]
	if !known {
		slack = o.deadline().Sub(c.s.expectedFinish(o, c.now))
		c.slack[o] = slack
	}
	return slack
}
