package dispatch

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider/fakelog"
	"github.com/anvilcourse/anvilcourse/provider/fakeworkers"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// orderCase is one row of the fault table.
type orderCase struct {
	name string
	// killAt is where the first entry dies.
	killAt step
	// pause holds the first entry between the read-back and the start.
	pause time.Duration
	log   func(*fakelog.Faults)
	vm    fakeworkers.Faults
	body  string
	// during happens 100 ms after the submissions.
	during func(*orderWorld)
	// final is the outcome that the last of the repeats gets.
	final OutcomeKind
	// starts is the number of starts in the workers' record.
	starts int
}

const orderBody = `{"work_ms":500}`

func orderCases() []orderCase {
	type vmFaults = fakeworkers.Faults
	heal := func(w *orderWorld) {
		w.log.Set(func(f *fakelog.Faults) { *f = fakelog.Faults{} })
		w.log.Release()
	}
	cases := []orderCase{
		{name: "no fault", final: Answered, starts: 1},
		{name: "log down", log: func(f *fakelog.Faults) { f.Down = true }, final: NotRun},
		{name: "log down for a while", log: func(f *fakelog.Faults) { f.Down = true }, during: heal, final: Answered, starts: 1},
		{name: "log slow", log: func(f *fakelog.Faults) { f.Slow = 100 * time.Millisecond }, final: Answered, starts: 1},
		{name: "log very slow", log: func(f *fakelog.Faults) { f.Slow = 5 * time.Second }, final: NotRun},
		{name: "append over the rate", log: func(f *fakelog.Faults) { f.RateLimit = 3 }, final: Answered, starts: 1},
		{name: "append reply lost", log: func(f *fakelog.Faults) { f.LoseReplies = 4 }, final: Answered, starts: 1},
		{name: "append lost", log: func(f *fakelog.Faults) { f.LoseAppends = 4 }, final: Answered, starts: 1},
		{name: "append late", log: func(f *fakelog.Faults) { f.HoldAppends = 2 }, during: heal, final: Answered, starts: 1},
		{name: "log down after the claim", during: func(w *orderWorld) { w.log.Set(func(f *fakelog.Faults) { f.Down = true }) }, final: Unknown, starts: 1},
		{name: "entry paused before the start, within its lease", pause: 900 * time.Millisecond, final: Answered, starts: 1},
		{name: "entry paused before the start, beyond its lease", pause: 6 * time.Second, final: Answered, starts: 1},
		{name: "target refuses the start", vm: vmFaults{RefuseStarts: true}, final: NotRun},
		{name: "target unreachable", vm: vmFaults{Unreachable: true}, final: NotRun},
		{name: "reply lost", vm: vmFaults{LoseReplies: 1}, final: Answered, starts: 1},
		{name: "reply late", vm: vmFaults{Late: time.Hour}, final: Answered, starts: 1},
		{name: "reply crossed", vm: vmFaults{Crossed: true}, final: Answered, starts: 1},
		{name: "reply cut short", vm: vmFaults{Truncate: true}, final: Answered, starts: 1},
		{name: "task fails", vm: vmFaults{FailAll: true}, final: Failed, starts: 1},
		{name: "task is stopped", vm: vmFaults{StopAll: true}, final: Failed, starts: 1},
		{name: "target gone after the start", during: func(w *orderWorld) { w.setVM(vmFaults{Gone: true}) }, final: Unknown, starts: 1},
		{name: "target replaced after the start", vm: vmFaults{LoseReplies: 1}, during: func(w *orderWorld) { w.fleet.Replace(vmID(0)) }, final: Unknown, starts: 1},
		{name: "answer too large to keep", body: strings.Repeat("x", 2*statemachine.MaxRecordedAnswerBytes), final: Answered, starts: 1},
	}
	for _, at := range killSteps {
		cases = append(cases, orderCase{name: "entry killed " + string(at), killAt: at, final: Answered, starts: 1})
		cases = append(cases, orderCase{name: "append reply lost, entry killed " + string(at), killAt: at,
			log: func(f *fakelog.Faults) { f.LoseReplies = 1 }, final: Answered, starts: 1})
		cases = append(cases, orderCase{name: "reply lost, entry killed " + string(at), killAt: at,
			vm: vmFaults{LoseReplies: 1}, final: Answered, starts: 1})
	}
	return cases
}

// orderWorld is three entries over one log and one VM.
type orderWorld struct {
	log   *fakelog.Log
	fleet *fakeworkers.Fleet
	procs []*process
}

// submitter runs one submission of an order through a process.
type submitter func(p *process, req Request) Outcome

func realSubmit(p *process, req Request) Outcome { return p.Do(context.Background(), req) }

func newOrderWorld(ctx context.Context, t testing.TB) *orderWorld {
	w := &orderWorld{log: fakelog.New(clockwork.NewRealClock()), fleet: newFleet(1)}
	w.startAll(ctx, t)
	return w
}

// startAll starts new processes, which replay the log, in place of the old.
func (w *orderWorld) startAll(ctx context.Context, t testing.TB) {
	for _, p := range w.procs {
		p.cancel()
	}
	w.procs = nil
	alive := func(name string) bool {
		for _, p := range w.procs {
			if p.name == name {
				return !p.isDead()
			}
		}
		return false
	}
	for _, name := range []string{"a", "b", "c"} {
		w.procs = append(w.procs, newProcess(ctx, t, name, w.log, w.fleet, 1, alive))
	}
	time.Sleep(time.Second)
}

// sleepStopped lets the time pass without processes and then starts new ones.
func (w *orderWorld) sleepStopped(ctx context.Context, t testing.TB, d time.Duration) {
	for _, p := range w.procs {
		p.cancel()
	}
	time.Sleep(d)
	w.startAll(ctx, t)
}

func (w *orderWorld) setVM(f fakeworkers.Faults) { w.fleet.SetFaults(vmID(0), f) }

// orderRun is what came of one row of the table.
type orderRun struct {
	kinds  []OutcomeKind
	last   []Outcome
	starts int
}

// runOrderCase submits one order through three entries at once, the first of
// which may die, and then again through the two others until the outcome no
// longer changes.
func runOrderCase(t *testing.T, w *orderWorld, c orderCase, submit submitter) orderRun {
	body := c.body
	if body == "" {
		body = orderBody
	}
	w.procs[0].killAt, w.procs[0].pause = c.killAt, c.pause
	w.setVM(c.vm)
	if c.log != nil {
		w.log.Set(c.log)
	}
	key := newOrderKey(t)
	req := Request{Queue: "w.order", Key: testKey, Body: []byte(body), IdempotencyKey: key, Timeout: processPatience}
	run := orderRun{}
	var mu sync.Mutex
	one := func(p *process) Outcome {
		outcome := submit(p, req)
		if !p.isDead() {
			mu.Lock()
			defer mu.Unlock()
			run.kinds = append(run.kinds, outcome.Kind)
		}
		return outcome
	}
	var wg sync.WaitGroup
	wg.Go(func() { one(w.procs[0]) })
	for _, p := range w.procs[1:] {
		wg.Go(func() {
			time.Sleep(time.Millisecond)
			one(p)
		})
	}
	if c.during != nil {
		time.Sleep(100 * time.Millisecond)
		c.during(w)
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	for _, p := range w.procs[1:] {
		run.last = append(run.last, one(p))
	}
	run.starts = w.fleet.Starts()[statemachine.OrderID(testTeam, key)]
	return run
}

func newOrderKey(t testing.TB) string {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

// TestOrder_Faults holds the invariants in every row: never two starts, no
// start if every submission was answered not_run, and the same outcome for
// each repeat.
func TestOrder_Faults(t *testing.T) {
	for _, c := range orderCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newOrderWorld(bubbleContext(t), t)
				run := runOrderCase(t, w, c, realSubmit)
				require.Equal(t, c.killAt != never, w.procs[0].isDead(), "the fault did not happen")
				require.Equal(t, c.starts, run.starts, "%v", run.kinds)
				if !hasOther(run.kinds, NotRun) {
					require.Zero(t, run.starts, "answered not_run, yet started")
				}
				for _, last := range run.last {
					require.Equal(t, c.final, last.Kind, "%s %s", last.Code, last.Message)
					require.True(t, bytes.Equal(run.last[0].Answer, last.Answer))
				}
				require.Zero(t, w.procs[1].ledger.Usage(testTeam).Running)
			})
		})
	}
}

// hasOther reports whether one of the kinds is another than the given one.
func hasOther(kinds []OutcomeKind, kind OutcomeKind) bool {
	for _, k := range kinds {
		if k != kind {
			return true
		}
	}
	return false
}

// TestOrder_ComesBackAfterTheWindow checks that a key whose claim may be
// forgotten never runs again.
func TestOrder_ComesBackAfterTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := bubbleContext(t)
		w := newOrderWorld(ctx, t)
		key := newOrderKey(t)
		req := Request{Queue: "w.order", Key: testKey, IdempotencyKey: key}
		require.Equal(t, Answered, w.procs[0].Do(context.Background(), req).Kind)
		time.Sleep(time.Second)
		w.sleepStopped(ctx, t, statemachine.ClaimWindow-time.Minute)
		require.Equal(t, Answered, w.procs[1].Do(context.Background(), req).Kind)
		w.sleepStopped(ctx, t, time.Hour)
		late := w.procs[1].Do(context.Background(), req)
		require.Equal(t, NotRun, late.Kind)
		require.Equal(t, CodeKeyOutsideWindow, late.Code)
		require.Equal(t, 1, w.fleet.Starts()[statemachine.OrderID(testTeam, key)])
	})
}

// TestOrder_Keys checks what keys an order may have.
func TestOrder_Keys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderWorld(bubbleContext(t), t)
		key := newOrderKey(t)
		ahead := "ffffffff-ffff-7fff-bfff-ffffffffffff"
		v4 := uuid.NewString()
		cases := []struct {
			name, key, body string
			kind            OutcomeKind
			code            Code
		}{
			{"none", "", "", NotRun, CodeBadIdempotencyKey},
			{"no UUID", "order-17", "", NotRun, CodeBadIdempotencyKey},
			{"version 4", v4, "", NotRun, CodeBadIdempotencyKey},
			{"far ahead", ahead, "", NotRun, CodeKeyOutsideWindow},
			{"good", key, "", Answered, ""},
			{"written otherwise", "urn:uuid:" + strings.ToUpper(key), "", Answered, ""},
			{"another body", key, "{}", NotRun, CodeKeyReused},
		}
		for _, c := range cases {
			got := w.procs[0].Do(context.Background(), Request{Queue: "w.order", Key: testKey, Body: []byte(c.body), IdempotencyKey: c.key})
			require.Equal(t, c.kind, got.Kind, c.name)
			require.Equal(t, c.code, got.Code, c.name)
		}
		require.Equal(t, map[string]int{statemachine.OrderID(testTeam, key): 1}, w.fleet.Starts())
		require.NotEqual(t, statemachine.OrderID("one", key), statemachine.OrderID("other", key))
	})
}
