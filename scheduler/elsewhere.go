package scheduler

// elsewhere is the room on the VMs of the pools that are not being vacated, for tasks that
// are stopped and can be on time nevertheless.
type elsewhere struct {
	// free is each worker's free CPU in millicores, by pool.
	free map[string]map[*worker]int64
}

// has reports whether a worker of the pool has room for the need.
func (e *elsewhere) has(pool string, need int64) bool { return e.find(pool, need) != nil }

// find returns the fullest worker of the pool that has room for the need, or nil.
func (e *elsewhere) find(pool string, need int64) *worker {
	var best *worker
	for w, free := range e.free[pool] {
		if free >= need && (best == nil || free < e.free[pool][best]) {
			best = w
		}
	}
	return best
}

// takeAll takes room for all the tasks, or none.
func (e *elsewhere) takeAll(tasks []*task) bool {
	var taken []*worker
	for i, t := range tasks {
		need := t.step.def.Need.MilliCPU
		w := e.find(t.pool, need)
		if w == nil {
			for k, undo := range taken {
				e.free[tasks[k].pool][undo] += tasks[k].step.def.Need.MilliCPU
			}
			return false
		}
		e.free[tasks[i].pool][w] -= need
		taken = append(taken, w)
	}
	return true
}

// without takes the worker's room away: its VM is to be vacated.
func (e *elsewhere) without(w *worker) {
	if w != nil {
		delete(e.free[w.info.Pool], w)
	}
}
