package soak

import "fmt"

// injectEvacuation evacuates an availability zone, sometimes one without workers, in a third
// of its calls. It returns a function that takes that back.
func (f *testFleet) injectEvacuation() func() {
	if f.zonesRNG.IntN(3) != 0 {
		return func() {}
	}
	record := fmt.Sprintf("evacuate/z%d", 1+f.zonesRNG.IntN(3))
	f.store.Put("keyed.op", record, map[string]any{})
	return func() { f.store.PutRaw("keyed.op", record, nil) }
}
