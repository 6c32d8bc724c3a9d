package scheduler

import (
	"sort"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// crowdedWorker is a worker of a crowded pool with the room on it that nothing has been
// promised yet.
type crowdedWorker struct {
	worker *worker
	room   fleet.Resources
	// victims may be stopped, the cheapest first; listed once they are asked for.
	victims []victim
	listed  bool
}

// victim is a running task that may be stopped.
type victim struct {
	task *task
	end  time.Time
	// late reports that its job can only be late.
	late bool
	// priority is that of its queue, hits what its team has lost of its share.
	priority int
	hits     float64
}

// freedRoom is room for one task on a worker, once the victims have been stopped.
type freedRoom struct {
	worker  *crowdedWorker
	victims []*task
}

// listVictims lists the tasks of the worker that may be stopped: those that can only be late
// first, then those of queues that come later, and of each those of the teams that have
// been hit least for their share.
func (c *crowdedPool) listVictims(w *crowdedWorker) {
	if w.listed {
		return
	}
	w.listed = true
	for _, t := range w.worker.tasks {
		if !c.s.stoppable(t, c.now) {
			continue
		}
		slack := c.slackOf(t.step.occurrence)
		if slack >= 0 && slack < time.Duration(stopGainFactor*float64(c.s.costOfStop())) {
			continue // It would be late.
		}
		w.victims = append(w.victims, victim{task: t, end: c.s.expectedEnd(t, c.now), late: slack < 0,
			priority: t.step.occurrence.job.queue.Priority, hits: c.s.hitsOf(t, c.now)})
	}
	sort.Slice(w.victims, func(i, k int) bool { return w.victims[i].before(w.victims[k]) })
}

func (v victim) before(other victim) bool {
	switch {
	case v.late != other.late:
		return v.late
	case v.priority != other.priority:
		return v.priority > other.priority
	case v.hits != other.hits:
		return v.hits < other.hits
	case v.task.step.def.Need.MilliCPU != other.task.step.def.Need.MilliCPU:
		return v.task.step.def.Need.MilliCPU < other.task.step.def.Need.MilliCPU
	}
	return v.task.id.String() < other.task.id.String()
}

// givesWayTo reports whether the victim is stopped for work of the priority that must
// start by the given time: its job can only be late and its queue is not more urgent, or
// its queue comes later. One that ends by then makes room by itself.
func (v victim) givesWayTo(priority int, startBy time.Time) bool {
	if !v.end.After(startBy) {
		return false
	}
	return v.late && v.priority >= priority || v.priority > priority
}

// findRooms returns room for each of the tasks, with the least CPU stopped for each; nil
// if there is not enough for all.
func (c *crowdedPool) findRooms(r rankedStep, waits []*task, startBy time.Time) []freedRoom {
	taken := chosenVictims{tasks: map[*task]bool{}, byTeam: map[poolTeam]int64{}}
	rooms := make([]freedRoom, 0, len(waits))
	before := map[*crowdedWorker]fleet.Resources{}
	for _, t := range waits {
		room, found := c.cheapestRoom(r, t, startBy, taken, rooms)
		if !found {
			for w, free := range before {
				w.room = free
			}
			return nil
		}
		if _, known := before[room.worker]; !known {
			before[room.worker] = room.worker.room
		}
		for _, v := range room.victims {
			taken.add(v)
			room.worker.room = room.worker.room.Plus(v.resources())
		}
		room.worker.room = room.worker.room.Minus(t.resources())
		rooms = append(rooms, room)
	}
	return rooms
}

// cheapestRoom returns the room for the task that needs the least CPU stopped.
func (c *crowdedPool) cheapestRoom(r rankedStep, t *task, startBy time.Time, taken chosenVictims, rooms []freedRoom) (best freedRoom, found bool) {
	bestCost := int64(0)
	for _, w := range c.workers {
		if !c.s.allows(t, w.worker, c.now) || !allowsBeside(t, w, rooms) || w.worker.reservedForOther(t.step) {
			continue
		}
		c.listVictims(w)
		victims, cost, enough := c.victimsFor(w, t.resources(), r.rank.priority, startBy, taken)
		if enough && (!found || cost < bestCost) {
			best, bestCost, found = freedRoom{worker: w, victims: victims}, cost, true
		}
	}
	return best, found
}

// allowsBeside reports whether the task may share the worker with those of its step that
// have just got room there.
func allowsBeside(t *task, w *crowdedWorker, rooms []freedRoom) bool {
	limit := t.step.def.MaxPerWorker
	if limit == 0 {
		return true
	}
	n := t.step.tasksByWorker[w.worker.info.ID]
	for _, room := range rooms {
		if room.worker == w {
			n++
		}
	}
	return n < limit
}

// chosenVictims are the tasks that are to be stopped for one step, and their CPU by team.
type chosenVictims struct {
	tasks  map[*task]bool
	byTeam map[poolTeam]int64
}

func (v chosenVictims) add(t *task) {
	v.tasks[t] = true
	v.byTeam[hitKey(t)] += t.step.def.Need.MilliCPU
}

// victimsFor returns the cheapest tasks of the worker whose stop makes room for the need,
// and their CPU.
func (c *crowdedPool) victimsFor(w *crowdedWorker, need fleet.Resources, priority int, startBy time.Time, taken chosenVictims) (out []*task, cost int64, enough bool) {
	room := w.room
	here := map[poolTeam]int64{}
	for _, v := range w.victims {
		if room.Fits(need) {
			break
		}
		if taken.tasks[v.task] || v.task.phase != running || !v.givesWayTo(priority, startBy) {
			continue
		}
		key := hitKey(v.task)
		if !c.s.mayHitTeam(v.task, taken.byTeam[key]+here[key], c.now) {
			continue
		}
		here[key] += v.task.step.def.Need.MilliCPU
		room = room.Plus(v.task.resources())
		out = append(out, v.task)
	}
	if !room.Fits(need) {
		return nil, 0, false
	}
	// Those that the later ones have made needless run on.
	for i := len(out) - 1; i >= 0; i-- {
		if less := room.Minus(out[i].resources()); less.Fits(need) {
			room = less
			out = append(out[:i:i], out[i+1:]...)
		}
	}
	for _, t := range out {
		cost += t.resources().MilliCPU
	}
	return out, cost, true
}
