package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// evacuation is an availability zone in which the operator lets no task start.
type evacuation struct {
	// occupied reports that the fleet has had workers there since the request; emptied that
	// the last run there has ended.
	occupied bool
	emptied  bool
}

// SetEvacuations replaces the availability zones being evacuated by the operator's current
// ones. It answers the loss, announced at any moment, of a zone's part of every pool: no
// task starts there from then on, and assignments that are not stored yet are withdrawn.
// Runs there go on: short ones end by themselves, and relocate moves long-running ones.
func (s *Scheduler) SetEvacuations(zones []string, now time.Time) {
	next := make(map[string]*evacuation, len(zones))
	for _, zone := range zones {
		if next[zone] = s.evacuations[zone]; next[zone] == nil {
			next[zone] = &evacuation{}
		}
	}
	previous := s.evacuations
	s.evacuations = next
	for _, w := range s.workers {
		w.evacuated = s.isEvacuated(w.info.AvailabilityZone)
	}
	for _, zone := range slices.Sorted(maps.Keys(next)) {
		if previous[zone] == nil {
			s.reportEvacuating(zone)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(previous)) {
		if next[zone] == nil {
			s.emit(Event{Kind: "zone.evacuation_ended", ID: zone, Reason: s.zoneContents(zone)})
		}
	}
	if len(next) > len(previous) && s.allEvacuated() {
		s.emit(Event{Kind: "zone.none_left", ID: strings.Join(slices.Sorted(maps.Keys(next)), " "), Reason: "every worker is in a zone being evacuated: work waits"})
	}
}

// isEvacuated reports whether no task may start in the availability zone.
func (s *Scheduler) isEvacuated(zone string) bool { return s.evacuations[zone] != nil }

// reportEvacuating logs a new evacuation, or that the fleet has nothing in such a zone.
func (s *Scheduler) reportEvacuating(zone string) {
	workers, _, _ := s.countZone(zone)
	e := s.evacuations[zone]
	if e.occupied = workers > 0; !e.occupied {
		s.emit(Event{Kind: "zone.evacuation_unknown", ID: zone, Reason: "no worker is listed in a zone of this name"})
		return
	}
	s.emit(Event{Kind: "zone.evacuating", ID: zone, Reason: s.zoneContents(zone)})
}

// reportEvacuations logs, once each, that a zone without workers has got some, and that the
// last run in a zone has ended.
func (s *Scheduler) reportEvacuations() {
	for _, zone := range slices.Sorted(maps.Keys(s.evacuations)) {
		e := s.evacuations[zone]
		workers, runs, _ := s.countZone(zone)
		if !e.occupied && workers > 0 {
			s.reportEvacuating(zone)
		}
		if e.occupied && !e.emptied && runs == 0 {
			e.emptied = true
			s.emit(Event{Kind: "zone.evacuated", ID: zone, Reason: s.zoneContents(zone)})
		}
	}
}

// zoneContents returns what the zone holds, for the log.
func (s *Scheduler) zoneContents(zone string) string {
	workers, runs, longRunning := s.countZone(zone)
	return fmt.Sprintf("%d workers with %d runs, %d of them long-running", workers, runs, longRunning)
}

func (s *Scheduler) countZone(zone string) (workers, runs, longRunning int) {
	for _, w := range s.workers {
		if w.info.AvailabilityZone != zone || !w.listed && !w.hasRuns() {
			continue
		}
		workers++
		for _, t := range w.tasks {
			runs++
			if t.step.def.LongRunning {
				longRunning++
			}
		}
	}
	return workers, runs, longRunning
}

func (s *Scheduler) allEvacuated() bool {
	listed := false
	for _, w := range s.workers {
		if w.listed && !w.evacuated {
			return false
		}
		listed = listed || w.listed
	}
	return listed
}

// evacuatedVM reports whether the VM is in a zone being evacuated: it is no capacity, and
// moving it to another pool would not help that one.
func (s *Scheduler) evacuatedVM(v *vm) bool { return s.isEvacuated(v.info.AvailabilityZone) }

// countEvacuated counts the VM as one of its pool that is only of use for what runs there.
func (s *Scheduler) countEvacuated(p *poolState, v *vm) {
	p.vmCapacity = max(p.vmCapacity, v.info.Capacity.MilliCPU)
	if v.info.State != fleet.VMUp || v.operation != nil {
		return
	}
	p.vms = append(p.vms, v)
	p.draining++
	p.evacuated++
	if w := s.workerOf(v); w != nil {
		p.capacity += w.used.MilliCPU
	}
}

// minimumBeforeEvacuation returns how many VMs a pool that has lost some to an evacuation
// gets back at once, whatever its demand: jobs that arrive find those that a pool always
// keeps. 0 if it has lost none.
func (p *poolState) minimumBeforeEvacuation() int {
	if p.evacuated == 0 {
		return 0
	}
	return min(minPoolVMs, len(p.vms)+p.incoming)
}

// withdrawEvacuatedGangs withdraws the whole of each gang with a stored assignment in a zone
// being evacuated: the members elsewhere would wait in vain for the others.
func (s *Scheduler) withdrawEvacuatedGangs(starts []pendingStart, now time.Time) {
	for _, pending := range starts {
		t := pending.task
		if !t.step.def.Gang || t.phase != persisting || t.attempt != pending.attempt || !t.worker.evacuated {
			continue
		}
		for _, member := range t.step.tasks {
			if member.phase == persisting {
				s.requeue(member, now, "a member was assigned to a zone that is being evacuated")
			}
		}
	}
}

// unpinEvacuatedRack lets the waiting tasks of a rack-local step choose another rack if
// theirs is in a zone being evacuated and no run of the step keeps them there. Runs of a
// long-running step keep none there: they may never end.
func (s *Scheduler) unpinEvacuatedRack(st *step) {
	if st.rack == "" || len(s.evacuations) == 0 || !s.rackEvacuated(st.rack) {
		return
	}
	if !st.def.LongRunning && slices.ContainsFunc(st.tasks, func(t *task) bool { return t.worker != nil }) {
		return
	}
	st.rack = ""
}

func (s *Scheduler) rackEvacuated(rack string) bool {
	evacuated := false
	for _, w := range s.workers {
		if w.info.Rack() != rack || !w.listed {
			continue
		}
		if !w.evacuated {
			return false
		}
		evacuated = true
	}
	return evacuated
}
