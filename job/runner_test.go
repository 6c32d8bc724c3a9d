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

const work = `{"work_ms":20000}`

// TestRunner_Faults submits one job per row and holds its end and the number
// of its starts against the workers' own record.
func TestRunner_Faults(t *testing.T) {
	all := func(f fakeworkers.Faults) func(*world) {
		return func(w *world) {
			for i := range vms {
				w.fleet.SetFaults(vmID(i), f)
			}
		}
	}
	kill := func(w *world) {
		w.runningOn("j")
		w.entries[0].kill()
	}
	gone := func(w *world) { w.fleet.SetFaults(w.runningOn("j"), fakeworkers.Faults{TimesOut: true}) }
	replaced := func(w *world) { w.fleet.ReplaceVM(w.runningOn("j")) }
	cancel := func(w *world) {
		w.runningOn("j")
		require.NoError(t, w.entries[1].Cancel(context.Background(), teamA, "j"))
	}
	preempt := func(w *world) {
		w.runningOn("j")
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, w.entries[0].Preempt(context.Background(), []string{"pool"}, 5))
	}
	stop := func(w *world) {
		w.runningOn("j")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(t, w.entries[0].Stop(ctx))
		w.entries[0].kill()
	}
	logDown := func(w *world) {
		w.runningOn("j")
		w.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true })
		time.Sleep(time.Minute)
		w.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = false })
	}
	dieAtStart := func(w *world) { w.entries[0].dieAtStart.Store(true) }
	pause := func(d time.Duration) func(*world) {
		return func(w *world) { w.entries[0].pause.Store(int64(d)) }
	}
	cases := []struct {
		name           string
		before, during func(*world)
		body           string
		many, once     statemachine.JobState
		starts         int
		startsOnce     int
	}{
		{name: "no fault", many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "work fails", body: `{"fail":true}`, many: "failed", once: "failed", starts: 3, startsOnce: 1},
		{name: "every VM fails everything", before: all(fakeworkers.Faults{FailTasks: true}), many: "failed", once: "failed", starts: 3, startsOnce: 1},
		{name: "one VM fails everything", before: func(w *world) { w.fleet.SetFaults(vmID(0), fakeworkers.Faults{FailTasks: true}) }, many: "done", once: "failed", starts: 2, startsOnce: 1},
		{name: "replies lost", before: all(fakeworkers.Faults{DropReplies: 9}), many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "replies crossed", before: all(fakeworkers.Faults{MismatchReplies: true}), many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "append reply lost", before: func(w *world) { w.log.SetFaults(func(f *fakelog.Faults) { f.DropReplies = 5 }) }, many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "owner killed while it runs", during: kill, many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "owner killed before the start", before: dieAtStart, many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "owner paused before the start, within its lease", before: pause(900 * time.Millisecond), many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "owner paused before the start, beyond its lease", before: pause(6 * time.Second), many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "target gone while it runs", during: gone, many: "done", once: "unknown", starts: 2, startsOnce: 1},
		{name: "target replaced while it runs", during: replaced, many: "done", once: "unknown", starts: 2, startsOnce: 1},
		{name: "cancelled while it runs", during: cancel, many: "cancelled", once: "cancelled", starts: 1, startsOnce: 1},
		{name: "log down while it runs", during: logDown, many: "done", once: "done", starts: 1, startsOnce: 1},
		{name: "gives way while it runs", during: preempt, many: "done", starts: 2},
		{name: "owner stops while it runs", during: stop, many: "done", once: "done", starts: 2, startsOnce: 1},
	}
	for _, c := range cases {
		for _, idempotent := range []bool{true, false} {
			state, starts := c.many, c.starts
			if !idempotent {
				state, starts = c.once, c.startsOnce
			}
			if state == "" {
				continue
			}
			t.Run(fmt.Sprintf("%s/idempotent=%t", c.name, idempotent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t)
					if c.before != nil {
						c.before(w)
					}
					body := c.body
					if body == "" {
						body = work
					}
					w.accept("j", teamA, idempotent, body)
					if c.during != nil {
						c.during(w)
					}
					job := w.await("j")
					require.Equal(t, state, job.State, job.Message)
					require.Equal(t, starts, w.fleet.StartCounts()["j"])
					if state == statemachine.JobDone {
						require.Equal(t, string(fakeworkers.ExpectedAnswer("j", []byte(body))), string(job.Answer))
					}
				})
			})
		}
	}
}

// TestRunner_ResumesFromCheckpoint checks that a job that gave way does not
// begin anew.
func TestRunner_ResumesFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		begun := time.Now()
		w.accept("j", teamA, true, work)
		w.runningOn("j")
		time.Sleep(15 * time.Second)
		require.Equal(t, 1, w.entries[0].Preempt(context.Background(), nil, 1))
		require.Zero(t, w.entries[0].Preempt(context.Background(), nil, 1), "a job gives way once")
		require.Equal(t, statemachine.JobDone, w.await("j").State)
		require.Less(t, time.Since(begun), 25*time.Second)
	})
}

// TestRunner_LogDown checks that a job is accepted only once it is in the log.
func TestRunner_LogDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true })
		for range 5 {
			err := w.entries[0].Accept(context.Background(), &statemachine.JobAccept{ID: "j", Team: teamA})
			require.True(t, errors.Is(err, ErrNotAccepted), "%v", err)
		}
		w.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = false })
		time.Sleep(time.Minute)
		require.Empty(t, w.fleet.StartCounts())
		_, err := w.entries[1].Get(timeout(t), "j")
		require.ErrorIs(t, err, ErrNotFound)
	})
}

func timeout(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestRunner_CancellationWave cancels thousands of one team's jobs at once and
// checks that another team's jobs go on meanwhile.
func TestRunner_CancellationWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		const wave = 2000
		accepted := make(chan struct{})
		for i := range wave {
			go func() {
				w.accept(fmt.Sprintf("a-%d", i), teamA, true, `{"work_ms":600000}`)
				accepted <- struct{}{}
			}()
		}
		for range wave {
			<-accepted
		}
		cancelled := make(chan error)
		for i := range wave {
			go func() {
				cancelled <- w.entries[1].Cancel(context.Background(), teamA, fmt.Sprintf("a-%d", i))
			}()
		}
		begun := time.Now()
		w.accept("b", teamB, true, `{"work_ms":1000}`)
		for range wave {
			require.NoError(t, <-cancelled)
		}
		require.Equal(t, statemachine.JobDone, w.await("b").State)
		require.Less(t, time.Since(begun), 10*time.Second)
		for i := range wave {
			require.Equal(t, statemachine.JobCancelled, w.await(fmt.Sprintf("a-%d", i)).State)
		}
	})
}
