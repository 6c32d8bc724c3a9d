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

// orderFaultCase is one row of the fault table.
type orderFaultCase struct {
	name string
	// killAt is where the first entry is killed.
	killAt killPoint
	// pause delays the first entry between the read-back and the start.
	pause time.Duration
	log   func(*fakelog.Faults)
	vm    fakeworkers.Faults
	body  string
	// during is called 100 ms after the submissions.
	during func(*orderFixture)
	// final is the outcome kind of the last repeats.
	final OutcomeKind
	// starts is the number of starts that the workers recorded.
	starts int
}

const orderBody = `{"work_ms":500}`

func orderFaultCases() []orderFaultCase {
	type vmFaults = fakeworkers.Faults
	clearFaults := func(w *orderFixture) {
		w.log.SetFaults(func(f *fakelog.Faults) { *f = fakelog.Faults{} })
		w.log.ReleaseAppends()
	}
	cases := []orderFaultCase{
		{name: "no fault", final: Answered, starts: 1},
		{name: "log down", log: func(f *fakelog.Faults) { f.Unavailable = true }, final: NotRun},
		{name: "log down for a while", log: func(f *fakelog.Faults) { f.Unavailable = true }, during: clearFaults, final: Answered, starts: 1},
		{name: "log slow", log: func(f *fakelog.Faults) { f.Delay = 100 * time.Millisecond }, final: Answered, starts: 1},
		{name: "log very slow", log: func(f *fakelog.Faults) { f.Delay = 5 * time.Second }, final: NotRun},
		{name: "append over the rate", log: func(f *fakelog.Faults) { f.RateLimitAppends = 3 }, final: Answered, starts: 1},
		{name: "append reply lost", log: func(f *fakelog.Faults) { f.DropReplies = 4 }, final: Answered, starts: 1},
		{name: "append lost", log: func(f *fakelog.Faults) { f.DropAppends = 4 }, final: Answered, starts: 1},
		{name: "append late", log: func(f *fakelog.Faults) { f.HoldAppends = 2 }, during: clearFaults, final: Answered, starts: 1},
		{name: "log down after the claim", during: func(w *orderFixture) { w.log.SetFaults(func(f *fakelog.Faults) { f.Unavailable = true }) }, final: Unknown, starts: 1},
		{name: "entry paused before the start, within its lease", pause: 900 * time.Millisecond, final: Answered, starts: 1},
		{name: "entry paused before the start, beyond its lease", pause: 6 * time.Second, final: Answered, starts: 1},
		{name: "target refuses the start", vm: vmFaults{RejectStarts: true}, final: NotRun},
		{name: "target unreachable", vm: vmFaults{Unreachable: true}, final: NotRun},
		{name: "reply lost", vm: vmFaults{DropReplies: 1}, final: Answered, starts: 1},
		{name: "reply late", vm: vmFaults{ReplyDelay: time.Hour}, final: Answered, starts: 1},
		{name: "reply crossed", vm: vmFaults{MismatchReplies: true}, final: Answered, starts: 1},
		{name: "reply cut short", vm: vmFaults{TruncateReplies: true}, final: Answered, starts: 1},
		{name: "task fails", vm: vmFaults{FailTasks: true}, final: Failed, starts: 1},
		{name: "task is stopped", vm: vmFaults{StopTasks: true}, final: Failed, starts: 1},
		{name: "target gone after the start", during: func(w *orderFixture) { w.setVM(vmFaults{TimesOut: true}) }, final: Unknown, starts: 1},
		{name: "target replaced after the start", vm: vmFaults{DropReplies: 1}, during: func(w *orderFixture) { w.fleet.ReplaceVM(vmID(0)) }, final: Unknown, starts: 1},
		{name: "answer too large to retain", body: strings.Repeat("x", 2*statemachine.MaxRecordedAnswerBytes), final: Answered, starts: 1},
	}
	for _, at := range killPoints {
		cases = append(cases, orderFaultCase{name: "entry killed " + string(at), killAt: at, final: Answered, starts: 1})
		cases = append(cases, orderFaultCase{name: "append reply lost, entry killed " + string(at), killAt: at,
			log: func(f *fakelog.Faults) { f.DropReplies = 1 }, final: Answered, starts: 1})
		cases = append(cases, orderFaultCase{name: "reply lost, entry killed " + string(at), killAt: at,
			vm: vmFaults{DropReplies: 1}, final: Answered, starts: 1})
	}
	return cases
}

// orderFixture is three entries with one log and one VM.
type orderFixture struct {
	log   *fakelog.Log
	fleet *fakeworkers.Fleet
	procs []*process
}

// submitter submits an order through a process.
type submitter func(p *process, req Request) Outcome

func submitOrder(p *process, req Request) Outcome { return p.Do(context.Background(), req) }

func newOrderFixture(ctx context.Context, t testing.TB) *orderFixture {
	w := &orderFixture{log: fakelog.New(clockwork.NewRealClock()), fleet: newFleet(1)}
	w.startAll(ctx, t)
	return w
}

// startAll replaces the processes by new ones, which replay the log.
func (w *orderFixture) startAll(ctx context.Context, t testing.TB) {
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

// restartAfter stops the processes and starts new ones after d.
func (w *orderFixture) restartAfter(ctx context.Context, t testing.TB, d time.Duration) {
	for _, p := range w.procs {
		p.cancel()
	}
	time.Sleep(d)
	w.startAll(ctx, t)
}

func (w *orderFixture) setVM(f fakeworkers.Faults) { w.fleet.SetFaults(vmID(0), f) }

// orderResult is the result of one row of the table.
type orderResult struct {
	kinds  []OutcomeKind
	last   []Outcome
	starts int
}

// runOrderFaultCase submits one order through three entries concurrently, the
// first of which may be killed, and then repeats it through the two others.
func runOrderFaultCase(t *testing.T, w *orderFixture, c orderFaultCase, submit submitter) orderResult {
	body := c.body
	if body == "" {
		body = orderBody
	}
	w.procs[0].killAt, w.procs[0].pause = c.killAt, c.pause
	w.setVM(c.vm)
	if c.log != nil {
		w.log.SetFaults(c.log)
	}
	key := newOrderKey(t)
	req := Request{Queue: "w.order", Key: testKey, Body: []byte(body), IdempotencyKey: key, Timeout: processTimeout}
	run := orderResult{}
	var mu sync.Mutex
	submitOnce := func(p *process) Outcome {
		outcome := submit(p, req)
		if !p.isDead() {
			mu.Lock()
			defer mu.Unlock()
			run.kinds = append(run.kinds, outcome.Kind)
		}
		return outcome
	}
	var wg sync.WaitGroup
	wg.Go(func() { submitOnce(w.procs[0]) })
	for _, p := range w.procs[1:] {
		wg.Go(func() {
			time.Sleep(time.Millisecond)
			submitOnce(p)
		})
	}
	if c.during != nil {
		time.Sleep(100 * time.Millisecond)
		c.during(w)
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	for _, p := range w.procs[1:] {
		run.last = append(run.last, submitOnce(p))
	}
	run.starts = w.fleet.StartCounts()[statemachine.OrderID(testTeam, key)]
	return run
}

func newOrderKey(t testing.TB) string {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	return id.String()
}

// TestOrder_Faults checks the invariants in every row: never two starts, no
// start if every submission returned not_run, and the same outcome for each
// repeat.
func TestOrder_Faults(t *testing.T) {
	for _, c := range orderFaultCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newOrderFixture(bubbleContext(t), t)
				run := runOrderFaultCase(t, w, c, submitOrder)
				require.Equal(t, c.killAt != notKilled, w.procs[0].isDead(), "the fault was not injected")
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

// hasOther reports whether any of the kinds differs from kind.
func hasOther(kinds []OutcomeKind, kind OutcomeKind) bool {
	for _, k := range kinds {
		if k != kind {
			return true
		}
	}
	return false
}

// TestOrder_RefusesKeyAfterTheWindow checks that a key never runs again once
// its claim may have been trimmed.
func TestOrder_RefusesKeyAfterTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := bubbleContext(t)
		w := newOrderFixture(ctx, t)
		key := newOrderKey(t)
		req := Request{Queue: "w.order", Key: testKey, IdempotencyKey: key}
		require.Equal(t, Answered, w.procs[0].Do(context.Background(), req).Kind)
		time.Sleep(time.Second)
		w.restartAfter(ctx, t, statemachine.ClaimWindow-time.Minute)
		require.Equal(t, Answered, w.procs[1].Do(context.Background(), req).Kind)
		w.restartAfter(ctx, t, time.Hour)
		late := w.procs[1].Do(context.Background(), req)
		require.Equal(t, NotRun, late.Kind)
		require.Equal(t, CodeKeyOutsideWindow, late.Code)
		require.Equal(t, 1, w.fleet.StartCounts()[statemachine.OrderID(testTeam, key)])
	})
}

// TestOrder_Keys checks which idempotency keys are accepted.
func TestOrder_Keys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newOrderFixture(bubbleContext(t), t)
		key := newOrderKey(t)
		futureKey := "ffffffff-ffff-7fff-bfff-ffffffffffff"
		version4Key := uuid.NewString()
		cases := []struct {
			name, key, body string
			kind            OutcomeKind
			code            Code
		}{
			{"none", "", "", NotRun, CodeBadIdempotencyKey},
			{"no UUID", "order-17", "", NotRun, CodeBadIdempotencyKey},
			{"version 4", version4Key, "", NotRun, CodeBadIdempotencyKey},
			{"far ahead", futureKey, "", NotRun, CodeKeyOutsideWindow},
			{"good", key, "", Answered, ""},
			{"not in canonical form", "urn:uuid:" + strings.ToUpper(key), "", Answered, ""},
			{"another body", key, "{}", NotRun, CodeKeyReused},
		}
		for _, c := range cases {
			got := w.procs[0].Do(context.Background(), Request{Queue: "w.order", Key: testKey, Body: []byte(c.body), IdempotencyKey: c.key})
			require.Equal(t, c.kind, got.Kind, c.name)
			require.Equal(t, c.code, got.Code, c.name)
		}
		require.Equal(t, map[string]int{statemachine.OrderID(testTeam, key): 1}, w.fleet.StartCounts())
		require.NotEqual(t, statemachine.OrderID("one", key), statemachine.OrderID("other", key))
	})
}
