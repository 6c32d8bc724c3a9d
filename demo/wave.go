package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	waveID       = "demo"
	waveTimeout  = 25 * time.Second
	waveParallel = 16
	wavePool     = "pool-1"
)

// runWave maintains the VMs of a pool while the load runs.
func (s *system) runWave(ctx context.Context, report *Report) error {
	start := time.Now()
	req := api.WaveRequest{
		ID: waveID, Pools: []string{wavePool}, DeadlineMS: waveTimeout.Milliseconds(), MaxParallel: waveParallel,
	}
	if _, err := s.operator(0).StartWave(ctx, req); err != nil {
		return errors.Wrap(err, "start the wave")
	}
	var last api.WaveStatus
	over := 0
	err := poll(ctx, waveTimeout, "the wave to end", func() bool {
		waves, err := s.operator(1).Waves(ctx)
		if err != nil || len(waves) != 1 {
			return false
		}
		last = waves[0]
		over += s.overBudget(ctx)
		return last.State.Finished()
	})
	report.WaveDurationMS = time.Since(start).Milliseconds()
	done := err == nil && last.State == statemachine.WaveDone
	report.check("maintenance ends and gives no VM up", done && last.Progress.Skipped == 0, "%d done, %d given up", last.Progress.Done, last.Progress.Skipped)
	report.check("no availability budget was broken", over == 0, "%d times over", over)
	return nil
}

// overBudget counts the pools with more VMs out of service than allowed.
func (s *system) overBudget(ctx context.Context) int {
	var pools []statemachine.Pool
	var vms []statemachine.VM
	client := s.operator(1)
	if client.Get(ctx, "/v1/pools", &pools) != nil || client.Get(ctx, "/v1/vms", &vms) != nil {
		return 0
	}
	unavailable := make(map[string]int)
	for _, vm := range vms {
		if !vm.Available() {
			unavailable[vm.Pool]++
		}
	}
	over := 0
	for _, pool := range pools {
		if unavailable[pool.Name] > pool.MaxUnavailable {
			over++
		}
	}
	return over
}
