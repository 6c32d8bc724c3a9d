package statemachine

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestJob_Table(t *testing.T) {
	accept := func(id string, idempotent bool) *JobAccept {
		return &JobAccept{ID: id, Team: "team", Queue: "w.job", Idempotent: idempotent, Body: []byte("b")}
	}
	start := func(id string, epoch int, vm string) *JobStart {
		return &JobStart{ID: id, Epoch: epoch, Slot: SlotLease{Target: vm}}
	}
	finish := func(id string, epoch, attempt int, e JobAttemptOutcome) *JobAttemptFinish {
		return &JobAttemptFinish{ID: id, Epoch: epoch, Attempt: attempt, Outcome: e, Checkpoint: "c", Answer: []byte("a"), Message: "why"}
	}
	cases := []struct {
		name    string
		writer  string
		command Command
		reason  Reason
		job     string
		state   JobState
	}{
		{"start of an unknown job", "a", start("j", 1, "vm-1"), ReasonNotFound, "", ""},
		{"accept", "a", accept("j", true), "", "j", JobQueued},
		{"accept again", "a", accept("j", true), ReasonExists, "j", JobQueued},
		{"start by another", "b", start("j", 1, "vm-1"), ReasonEpoch, "j", JobQueued},
		{"start", "a", start("j", 1, "vm-1"), "", "j", JobRunning},
		{"second start", "a", start("j", 1, "vm-2"), ReasonStep, "j", JobRunning},
		{"takeover", "b", &JobTakeover{ID: "j", Epoch: 1}, "", "j", JobRunning},
		{"superseded takeover", "c", &JobTakeover{ID: "j", Epoch: 1}, ReasonEpoch, "j", JobRunning},
		{"finish by the previous owner", "a", finish("j", 1, 1, JobAttemptAnswered), ReasonEpoch, "j", JobRunning},
		{"finish of another start", "b", finish("j", 2, 2, JobAttemptAnswered), ReasonStep, "j", JobRunning},
		{"stopped", "b", finish("j", 2, 1, JobAttemptStopped), "", "j", JobQueued},
		{"start elsewhere", "b", start("j", 2, "vm-2"), "", "j", JobRunning},
		{"failed once", "b", finish("j", 2, 2, JobAttemptFailed), "", "j", JobQueued},
		{"start", "b", start("j", 2, "vm-2"), "", "j", JobRunning},
		{"failed on the same", "b", finish("j", 2, 3, JobAttemptFailed), "", "j", JobQueued},
		{"start", "b", start("j", 2, "vm-3"), "", "j", JobRunning},
		{"lost", "b", finish("j", 2, 4, JobAttemptLost), "", "j", JobQueued},
		{"start", "b", start("j", 2, "vm-3"), "", "j", JobRunning},
		{"failed on two", "b", finish("j", 2, 5, JobAttemptFailed), "", "j", JobQueued},
		{"start", "b", start("j", 2, "vm-4"), "", "j", JobRunning},
		{"failed on three", "b", finish("j", 2, 6, JobAttemptFailed), "", "j", JobFailed},
		{"takeover of a finished job", "c", &JobTakeover{ID: "j", Epoch: 2}, ReasonStep, "j", JobFailed},
		{"accept once", "a", accept("once", false), "", "once", JobQueued},
		{"start", "a", start("once", 1, "vm-1"), "", "once", JobRunning},
		{"released", "a", finish("once", 1, 1, JobAttemptReleased), "", "once", JobQueued},
		{"start", "a", start("once", 1, "vm-1"), "", "once", JobRunning},
		{"lost once", "a", finish("once", 1, 2, JobAttemptLost), "", "once", JobUnknown},
		{"accept to cancel", "a", accept("cancel", true), "", "cancel", JobQueued},
		{"cancel by another team", "b", &JobCancel{ID: "cancel", Team: "other"}, ReasonNotFound, "cancel", JobQueued},
		{"start", "a", start("cancel", 1, "vm-1"), "", "cancel", JobRunning},
		{"cancel", "b", &JobCancel{ID: "cancel", Team: "team"}, "", "cancel", JobRunning},
		{"stopped by the cancel", "a", finish("cancel", 1, 1, JobAttemptStopped), "", "cancel", JobCancelled},
		{"accept to cancel in the queue", "a", accept("queued", true), "", "queued", JobQueued},
		{"cancel in the queue", "b", &JobCancel{ID: "queued", Team: "team"}, "", "queued", JobCancelled},
		{"start of a cancelled job", "a", start("queued", 1, "vm-1"), ReasonStep, "queued", JobCancelled},
	}
	log := newTestLog()
	for _, c := range cases {
		require.Equal(t, c.reason, rejectionReason(log.apply(t, c.writer, baseTimeMS, c.command)), c.name)
		if c.job != "" {
			job, ok := log.state.Jobs.Get(c.job)
			require.True(t, ok, c.name)
			require.Equal(t, c.state, job.State, c.name)
		}
	}
	require.Zero(t, log.state.UnfinishedJobs.Len())
	require.Nil(t, log.apply(t, "a", baseTimeMS+2*JobRetention.Milliseconds(), accept("next", true)))
	require.Equal(t, 1, log.state.Jobs.Len())
}

// TestJob_AtMostOnceUnderRaces lets owners race for a job that runs at most
// once: whatever they write, no start is claimed after one that may have run.
func TestJob_AtMostOnceUnderRaces(t *testing.T) {
	outcomes := []JobAttemptOutcome{JobAttemptAnswered, JobAttemptFailed, JobAttemptStopped, JobAttemptReleased, JobAttemptLost}
	rapid.Check(t, func(t *rapid.T) {
		log := newTestLog()
		require.Nil(t, log.apply(t, "a", baseTimeMS, &JobAccept{ID: "j", Team: "team"}))
		started := false
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			writer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "writer")
			epoch := rapid.IntRange(1, 4).Draw(t, "epoch")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				log.apply(t, writer, baseTimeMS, &JobTakeover{ID: "j", Epoch: epoch})
			case 1:
				if log.apply(t, writer, baseTimeMS, &JobStart{ID: "j", Epoch: epoch}) == nil {
					require.False(t, started, "a second start")
					started = true
				}
			case 2:
				outcome := rapid.SampledFrom(outcomes).Draw(t, "end")
				rejection := log.apply(t, writer, baseTimeMS, &JobAttemptFinish{ID: "j", Epoch: epoch, Attempt: rapid.IntRange(1, 4).Draw(t, "attempt"), Outcome: outcome})
				if rejection == nil && outcome == JobAttemptReleased {
					started = false
				}
			default:
				log.apply(t, writer, baseTimeMS, &JobCancel{ID: "j", Team: "team"})
			}
		}
	})
}
