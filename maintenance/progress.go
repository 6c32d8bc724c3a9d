package maintenance

import "github.com/anvilcourse/anvilcourse/statemachine"

// Progress counts the VMs of a wave by their state in it.
type Progress struct {
	// Pending VMs are in service and yet to be maintained.
	Pending int `json:"pending"`
	// Blocked VMs are out of service and yet to be maintained.
	Blocked int `json:"blocked"`
	Active  int `json:"active"`
	// Moving VMs drain for another pool.
	Moving int `json:"moving"`
	// Lent VMs of a spare pool are in service in the wave's pools.
	Lent int `json:"lent"`
	Done int `json:"done"`
	// Skipped VMs were not empty at their drain timeout.
	Skipped int `json:"skipped"`
	// Failed VMs failed during or after their maintenance.
	Failed int `json:"failed"`
}

// ProgressOf counts the VMs of the wave.
func ProgressOf(s *statemachine.State, wave *statemachine.Wave) Progress {
	v := newFleetView(s, []*statemachine.Wave{wave}).waves[wave.ID]
	return Progress{
		Pending: len(v.pending), Blocked: len(v.blocked), Active: len(v.active), Moving: len(v.moving),
		Lent: len(v.lent), Done: v.done, Skipped: v.skipped, Failed: len(v.failed),
	}
}
