package fleetentry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/emulator"
	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/settings"
)

// wideJob is the largest job that is valid, and can never run.
func wideJob(id string) fleet.Submission {
	return fleet.Submission{ID: id, Steps: []fleet.Step{{Count: 20_000, Label: "none"}}}
}

// longJob has as many steps as a job may have, each of which depends on all before.
func longJob(id string) fleet.Submission {
	sub := fleet.Submission{ID: id}
	for i := range fleet.MaxSteps {
		step := fleet.Step{Count: 1, Label: "none"}
		for dependency := range i {
			step.DependsOn = append(step.DependsOn, dependency)
		}
		sub.Steps = append(sub.Steps, step)
	}
	return sub
}

// TestJobMemory_Sum guards against entries that run out of memory because of what accepted jobs
// take together, each of which is valid: a job beyond that is rejected, small ones find room
// beside large ones, and what ends makes room.
func TestJobMemory_Sum(t *testing.T) {
	for name, newJob := range map[string]func(id string) fleet.Submission{"40 jobs of 20,000 tasks": wideJob, "700 jobs of 256 steps": longJob} {
		t.Run(name, func(t *testing.T) {
			s := settings.DefaultFleetEntry()
			s.MemoryMB = 284
			m, v, now := newJobMemory(s), ledger.NewView(), time.Now()
			accepted := 0
			for i := range 700 {
				job := newJob(fmt.Sprintf("%016x", i))
				if m.reserve(v, &job, now) != "" {
					continue
				}
				accepted++
				if i%2 == 0 { // The state shows some of them late.
					require.NoError(t, v.Apply(ledger.SubmissionRecord(job)))
				}
			}
			require.Positive(t, accepted)
			one := newJob("one")
			require.LessOrEqual(t, int64(accepted)*one.HeldBytes(), m.limit)
			require.NotEmpty(t, m.reserve(v, &one, now))
			small := fleet.Submission{ID: "small", Steps: []fleet.Step{{Count: 10}}}
			require.Empty(t, m.reserve(v, &small, now))

			require.NoError(t, v.Apply(ledger.CancellationRecord(fmt.Sprintf("%016x", 0), 1)))
			require.Empty(t, m.reserve(v, &one, now))
			require.Empty(t, m.reserve(v, &one, now), "a job counts twice")
			m.release(one.ID)
			m.release(small.ID)
			require.Zero(t, m.reserved[one.ID])
		})
	}
}

// TestJobMemory_Rejected hands in more large jobs than the entries have memory for: each answer
// is true, and ordinary jobs run.
func TestJobMemory_Rejected(t *testing.T) {
	p := newTestPlatform(t, 3)
	rejected := 0
	for i := range 12 {
		path := fmt.Sprintf("/desk/%016x", i)
		status, _ := p.call(http.MethodPost, path, testKey, emulator.JobBody("none", emulator.Step{Count: 20_000, MilliCPU: 1_000_000, EstimateMillis: 100}))
		if status == http.StatusOK {
			p.awaitState(path, "queued")
			continue
		}
		rejected++
		state, _ := p.call(http.MethodGet, path, testKey, "")
		require.Equal(t, http.StatusGone, state)
	}
	require.Positive(t, rejected)
	require.Less(t, rejected, 12)
	p.awaitState(p.submit("desk", twoSteps("")), "completed")
}
