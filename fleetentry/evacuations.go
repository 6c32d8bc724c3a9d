package fleetentry

import (
	"maps"
	"slices"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// evacuations is the set of availability zones that the operator has evacuated.
type evacuations map[string]struct{}

// zones returns the zones in order.
func (e evacuations) zones() []string { return slices.Sorted(maps.Keys(e)) }

// Evacuations returns the availability zones that are being evacuated, as far as this entry
// has read.
func (o *OperatorWatcher) Evacuations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.evacuations.zones()
}

// OnEvacuations sets the callback for changes of the zones being evacuated; nil for none.
func (o *OperatorWatcher) OnEvacuations(callback func(zones []string)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onEvacuations = callback
}

// applyEvacuations applies the evacuations among the records. If these are the newest of
// all keys, the evacuations that are not among them have been withdrawn: the record that
// withdrew one is not listed.
func (o *OperatorWatcher) applyEvacuations(records []fleet.Record, whole bool) {
	o.mu.Lock()
	next := maps.Clone(o.evacuations)
	if whole {
		clear(next)
	}
	for _, r := range records {
		e, ok, err := o.decoder.Evacuation(r)
		switch {
		case !ok:
		case err != nil:
			o.log.Error("cannot decode evacuation, evacuating no zone for it", "offset", r.Offset, "error", err)
			o.metrics.Add("evacuations_undecodable", 1)
		case e.Withdrawn:
			delete(next, e.AvailabilityZone)
		default:
			next[e.AvailabilityZone] = struct{}{}
		}
	}
	changed := !maps.Equal(next, o.evacuations)
	if changed {
		o.logEvacuations(next)
	}
	o.evacuations = next
	callback, zones := o.onEvacuations, next.zones()
	o.mu.Unlock()
	if changed && callback != nil {
		callback(zones)
	}
}

// logEvacuations logs how the zones being evacuated change. The lock is held.
func (o *OperatorWatcher) logEvacuations(next evacuations) {
	for _, zone := range next.zones() {
		if _, known := o.evacuations[zone]; !known {
			o.log.Info("evacuation requested", "zone", zone)
			o.metrics.Add("evacuations_requested", 1)
		}
	}
	for _, zone := range o.evacuations.zones() {
		if _, remains := next[zone]; !remains {
			o.log.Info("evacuation withdrawn", "zone", zone)
			o.metrics.Add("evacuations_withdrawn", 1)
		}
	}
}
