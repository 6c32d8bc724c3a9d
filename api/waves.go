package api

import (
	"github.com/anvilcourse/anvilcourse/maintenance"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// WaveRequest asks to maintain the VMs of some pools.
type WaveRequest struct {
	// ID names the wave.
	ID    string   `json:"id" validate:"required,max=64,excludesall=./"`
	Pools []string `json:"pools" validate:"min=1,dive,required"`
	// DeadlineMS is the time after which the drain of a VM is given up, in
	// milliseconds.
	DeadlineMS int64 `json:"deadline_ms" validate:"min=1"`
	// MaxParallel bounds the VMs under maintenance at once.
	MaxParallel int `json:"max_parallel" validate:"min=1"`
	// MaxFailures is the number of maintained VMs that may fail before the
	// wave pauses itself.
	MaxFailures int `json:"max_failures" validate:"min=0"`
}

// WaveStatus is a wave, how far it is and what it waits for.
type WaveStatus struct {
	statemachine.Wave
	Progress maintenance.Progress `json:"progress"`
	// Planner is the entry incarnation that carries the wave out, or empty.
	Planner string `json:"planner"`
	// Conditions are what the wave waits for, as this entry sees it. What
	// concerns single VMs only the planner sees.
	Conditions []maintenance.Condition `json:"conditions"`
}
