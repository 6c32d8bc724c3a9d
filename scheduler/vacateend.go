package scheduler

import (
	"sort"
	"time"
)

// vacateHold is for how long a VM goes on being vacated after the last plan that wanted
// it: the demand is a mean over the longest window of arrivals, of which the one before
// tells whether it grows, and a VM that is given back gets tasks at once that hold it anew.
const vacateHold = arrivalRetention

// vacatingVMs returns the VMs that are being vacated for another pool, in order.
func (s *Scheduler) vacatingVMs() []*vm {
	var out []*vm
	for _, v := range s.vms {
		if v.vacateFor != "" && v.operation == nil {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].info.Name < out[k].info.Name })
	return out
}

// releaseUnwanted lets VMs take tasks again that no pool has needed for a while, that a
// wave needs now or whose zone is being evacuated, and as many as their own pool lacks for
// work that can be on time: those that would be empty last. It counts the others as met
// shortages.
//
// It answers shortages that come and go with single arrivals during the change of turns.
// When all VMs are given back with each of them, most are filled again and again before
// they are empty.
func (c *consolidation) releaseUnwanted(short []poolShortage) {
	needs := make(map[string]*poolShortage, len(short))
	for i := range short {
		needs[short[i].pool] = &short[i]
	}
	vacating := c.byEmptyTime(c.s.vacatingVMs())
	kept := vacating[:0]
	for _, v := range vacating {
		if need, wanted := needs[v.vacateFor]; wanted && need.count > 0 && !c.s.evacuatedVM(v) {
			need.count--
			v.wantedAt = c.now
		}
	}
	for _, v := range vacating {
		c.redirect(v, short)
		w := c.s.workerOf(v)
		urgent := w != nil && w.maintenanceUrgent
		if urgent || c.s.evacuatedVM(v) || c.now.Sub(v.wantedAt) > vacateHold {
			c.s.undrain(v)
			continue
		}
		kept = append(kept, v)
	}
	lacking := map[string]int{}
	for _, v := range kept {
		lacking[v.info.Pool] = c.lacking(v.info.Pool)
	}
	for i := len(kept) - 1; i >= 0; i-- {
		if v := kept[i]; lacking[v.info.Pool] > 0 {
			lacking[v.info.Pool]--
			c.s.undrain(v)
		}
	}
}

// redirect vacates the VM for another pool that has an unmet shortage if its own does not
// want it now.
func (c *consolidation) redirect(v *vm, short []poolShortage) {
	if v.wantedAt.Equal(c.now) || c.s.evacuatedVM(v) {
		return
	}
	for i := range short {
		if need := &short[i]; need.count > 0 && need.pool != v.info.Pool {
			need.count--
			v.vacateFor, v.wantedAt = need.pool, c.now
			return
		}
	}
}

// byEmptyTime orders the VMs by when they can be empty.
func (c *consolidation) byEmptyTime(vms []*vm) []*vm {
	emptyAt := make(map[*vm]time.Time, len(vms))
	for _, v := range vms {
		emptyAt[v] = c.now
		if c.s.workerOf(v) != nil {
			emptyAt[v], _ = c.forecast(v)
		}
	}
	sort.SliceStable(vms, func(i, k int) bool { return emptyAt[vms[i]].Before(emptyAt[vms[k]]) })
	return vms
}
