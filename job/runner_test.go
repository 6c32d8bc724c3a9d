package job

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/provider/fakeworkers"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const taskBody = `{"work_ms":20000}`

// TestRunner_Faults submits one job per row and compares its final state and
// number of starts with the workers' own record.
func TestRunner_Faults(t *testing.T) {
	all := func(f fakeworkers.Faults) func(*testCluster) {
		return func(cluster *testCluster) {
			for i := range vms {
				cluster.fleet.SetFaults(vmID(i), f)
			}
		}
	}
	kill := func(cluster *testCluster) {
		cluster.awaitRunning("j")
		cluster.entries[0].kill()
	}
	unreachable := func(cluster *testCluster) {
		cluster.fleet.SetFaults(cluster.awaitRunning("j"), fakeworkers.Faults{TimesOut: true})
	}
	replaced := func(cluster *testCluster) { cluster.fleet.ReplaceVM(cluster.awaitRunning("j")) }
	cancel := func(cluster *testCluster) {
		cluster.awaitRunning("j")
		require.NoError(t, cluster.entries[1].Cancel(context.Background(), teamA, "j"))
	}
	preempt := func(cluster *testCluster) {
		cluster.awaitRunning("j")
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, cluster.entries[0].Preempt(context.Background(), []string{"pool"}, 5))
	}
	stop := func(cluster *testCluster) {
		cluster.awaitRunning("j")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(t, cluster.entries[0].Stop(ctx))
		cluster.entries[0].kill()
	}
	logUnavailable := func(cluster *testCluster) {
		cluster.awaitRunning("j")
		cluster.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true })
		time.Sleep(time.Minute)
		cluster.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = false })
	}
	killBeforeStart := func(cluster *testCluster) { cluster.entries[0].killBeforeStart.Store(true) }
	pause := func(d time.Duration) func(*testCluster) {
		return func(cluster *testCluster) { cluster.entries[0].pauseBeforeStart.Store(int64(d)) }
	}
	cases := []struct {
		name                           string
		before, during                 func(*testCluster)
		body                           string
		wantState, wantStateAtMostOnce statemachine.JobState
		wantStarts                     int
		wantStartsAtMostOnce           int
	}{
		{name: "no fault", wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "work fails", body: `{"fail":true}`, wantState: "failed", wantStateAtMostOnce: "failed", wantStarts: 3, wantStartsAtMostOnce: 1},
		{name: "every VM fails everything", before: all(fakeworkers.Faults{FailTasks: true}), wantState: "failed", wantStateAtMostOnce: "failed", wantStarts: 3, wantStartsAtMostOnce: 1},
		{name: "one VM fails everything", before: func(cluster *testCluster) { cluster.fleet.SetFaults(vmID(0), fakeworkers.Faults{FailTasks: true}) }, wantState: "done", wantStateAtMostOnce: "failed", wantStarts: 2, wantStartsAtMostOnce: 1},
		{name: "replies lost", before: all(fakeworkers.Faults{DropReplies: 9}), wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "replies mismatched", before: all(fakeworkers.Faults{MismatchReplies: true}), wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "append reply lost", before: func(cluster *testCluster) { cluster.log.SetFaults(func(f *fakelog.Faults) { f.DropReplies = 5 }) }, wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "owner killed while it runs", during: kill, wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "owner killed before the start", before: killBeforeStart, wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "owner paused before the start, within its lease", before: pause(900 * time.Millisecond), wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "owner paused before the start, beyond its lease", before: pause(6 * time.Second), wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "target unreachable while it runs", during: unreachable, wantState: "done", wantStateAtMostOnce: "unknown", wantStarts: 2, wantStartsAtMostOnce: 1},
		{name: "target replaced while it runs", during: replaced, wantState: "done", wantStateAtMostOnce: "unknown", wantStarts: 2, wantStartsAtMostOnce: 1},
		{name: "cancelled while it runs", during: cancel, wantState: "cancelled", wantStateAtMostOnce: "cancelled", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "log unavailable while it runs", during: logUnavailable, wantState: "done", wantStateAtMostOnce: "done", wantStarts: 1, wantStartsAtMostOnce: 1},
		{name: "preempted while it runs", during: preempt, wantState: "done", wantStarts: 2},
		{name: "owner stops while it runs", during: stop, wantState: "done", wantStateAtMostOnce: "done", wantStarts: 2, wantStartsAtMostOnce: 1},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{true, false} {
			state, starts := c.wantState, c.wantStarts
			if !idempotent {
				state, starts = c.wantStateAtMostOnce, c.wantStartsAtMostOnce
			}
			if state == "" {
				continue
			}
			t.Run(fmt.Sprintf("%s/idempotent=%t", c.name, idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newTestCluster(t)
					if c.before != nil {
						c.before(cluster)
					}
					body := c.body
					if body == "" {
						body = taskBody
					}
					cluster.accept("j", teamA, idempotent, body)
					if c.during != nil {
						c.during(cluster)
					}
					job := cluster.awaitFinished("j")
					require.Equal(t, state, job.State, job.Message)
					require.Equal(t, starts, cluster.fleet.StartCounts()["j"])
					if state == statemachine.JobDone {
						require.Equal(t, string(fakeworkers.ExpectedAnswer("j", []byte(body))), string(job.Answer))
					}
				})
			})
		}
	}
}

// TestRunner_ResumesFromCheckpoint checks that a preempted job does not start
// from scratch.
func TestRunner_ResumesFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		startedAt := time.Now()
		cluster.accept("j", teamA, true, taskBody)
		cluster.awaitRunning("j")
		time.Sleep(15 * time.Second)
		require.Equal(t, 1, cluster.entries[0].Preempt(context.Background(), nil, 1))
		require.Zero(t, cluster.entries[0].Preempt(context.Background(), nil, 1), "a job is preempted only once")
		require.Equal(t, statemachine.JobDone, cluster.awaitFinished("j").State)
		require.Less(t, time.Since(startedAt), 25*time.Second)
	})
}

// TestRunner_LogUnavailable checks that a job is accepted only once it is in
// the log.
func TestRunner_LogUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true })
		for range 5 {
			err := cluster.entries[0].Accept(context.Background(), &statemachine.JobAccept{ID: "j", Team: teamA})
			require.True(t, errors.Is(err, ErrNotAccepted), "%v", err)
		}
		cluster.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = false })
		time.Sleep(time.Minute)
		require.Empty(t, cluster.fleet.StartCounts())
		_, err := cluster.entries[1].Get(testContext(t), "j")
		require.ErrorIs(t, err, ErrNotFound)
	})
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestRunner_MassCancellation cancels thousands of one team's jobs at once and
// checks that another team's jobs still run.
func TestRunner_MassCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		const wave = 2000
		accepted := make(chan struct{})
		for i := range wave {
			go func() {
				cluster.accept(fmt.Sprintf("a-%d", i), teamA, true, `{"work_ms":600000}`)
				accepted <- struct{}{}
			}()
		}
		for range wave {
			<-accepted
		}
		cancelled := make(chan error)
		for i := range wave {
			go func() {
				cancelled <- cluster.entries[1].Cancel(context.Background(), teamA, fmt.Sprintf("a-%d", i))
			}()
		}
		startedAt := time.Now()
		cluster.accept("b", teamB, true, `{"work_ms":1000}`)
		for range wave {
			require.NoError(t, <-cancelled)
		}
		require.Equal(t, statemachine.JobDone, cluster.awaitFinished("b").State)
		require.Less(t, time.Since(startedAt), 10*time.Second)
		for i := range wave {
			require.Equal(t, statemachine.JobCancelled, cluster.awaitFinished(fmt.Sprintf("a-%d", i)).State)
		}
	})
}
