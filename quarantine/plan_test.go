package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/verdict"
)

// controlStream applies commands to a state.
type controlStream struct {
	t     *testing.T
	state *statemachine.State
	seq   uint64
}

func (s *controlStream) apply(at time.Time, c statemachine.Command) {
	s.t.Helper()
	s.seq++
	next, results := s.state.Apply(s.state.NextOffset, statemachine.Batch{
		Writer: "op", AtMS: at.UnixMilli(), Records: []statemachine.Record{{Seq: s.seq, Command: c}},
	})
	s.state = next
	require.Nil(s.t, results[0].Rejection)
}

// newTestStream returns a pool of 10 VMs in two availability zones, of which
// two may be unavailable.
func newTestStream(t *testing.T, at time.Time) *controlStream {
	s := &controlStream{t: t, state: statemachine.New()}
	s.apply(at, &statemachine.PoolSet{Pool: statemachine.Pool{Name: "p", MaxUnavailable: 2}})
	for i := range 10 {
		vm := statemachine.VM{ID: fmt.Sprintf("vm-%d", i), Pool: "p", AvailabilityZone: fmt.Sprintf("z-%d", i%2)}
		s.apply(at, &statemachine.VMAdd{VM: vm})
	}
	return s
}

// TestPlanCommands_BudgetAndRelease lets three targets fail everything: two of
// them are quarantined, as the budget allows, each planned command takes
// effect, and all return to service on probation when their quarantine expires.
func TestPlanCommands_BudgetAndRelease(t *testing.T) {
	clock := clockwork.NewFakeClock()
	now := clock.Now()
	s := newTestStream(t, now)
	detector := NewDetector(verdict.DefaultParams(), clock)
	fail := func(from, to int) {
		for n := from; n < to; n++ {
			for _, vm := range []string{"vm-0", "vm-1", "vm-2"} {
				job := &statemachine.Job{ID: fmt.Sprintf("%s-%d", vm, n), Team: fmt.Sprint(n % 3), Slot: statemachine.SlotLease{Target: vm}}
				require.Equal(t, statemachine.JobVerdictInconclusive, detector.ClassifyFailure(job))
			}
		}
	}
	step := func() int {
		commands := PlanCommands(s.state, detector.suspects(s.state), clock.Now())
		for _, c := range commands {
			s.apply(clock.Now(), c)
		}
		return len(commands)
	}
	fail(0, 2)
	require.Zero(t, step(), "two failures prove nothing")
	fail(2, 16)
	require.Len(t, detector.suspects(s.state), 3)
	require.Equal(t, 2, step())
	require.Zero(t, s.state.RemainingPoolBudget("p"))
	require.Zero(t, step(), "the budget is exhausted")

	clock.Advance(time.Minute)
	require.Equal(t, 2, step(), "both are released")
	require.Equal(t, 1, step(), "the third uses the released budget")
	for id, vm := range s.state.VMs.All() {
		require.Equal(t, id != "vm-2", vm.Available(), id)
	}
	fail(16, 20)
	require.Equal(t, 1, step(), "four failures quarantine a target on probation again")
	vm, _ := s.state.VMs.Get("vm-0")
	require.Equal(t, clock.Now().Add(2*time.Minute).UnixMilli(), vm.Quarantine.UntilMS)
}
