package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// countedSlots grants a fixed number of slots of one target.
type countedSlots struct{ free atomic.Int64 }

func (s *countedSlots) Acquire(context.Context, []string, string) (*placement.LeasedSlot, error) {
	if s.free.Add(-1) < 0 {
		s.free.Add(1)
		return nil, placement.ErrNoSlot
	}
	target := placement.NewTarget("vm-1", "pool", time.Now())
	return &placement.LeasedSlot{Target: target, ExpiresAt: time.Now().Add(time.Minute)}, nil
}

func (s *countedSlots) Release(*placement.LeasedSlot)    { s.free.Add(1) }
func (*countedSlots) MarkDraining(*placement.LeasedSlot) {}

// countedAllotment grants a fixed number of units to any team.
type countedAllotment struct{ free atomic.Int64 }

func (a *countedAllotment) Acquire(string) (string, bool) {
	if a.free.Add(-1) < 0 {
		a.free.Add(1)
		return "", false
	}
	return "self", true
}

func (a *countedAllotment) Release(string, string) { a.free.Add(1) }

func newPlacementDispatcher(slots, units int64) *Dispatcher {
	s, a := &countedSlots{}, &countedAllotment{}
	s.free.Store(slots)
	a.free.Store(units)
	return New(Config{Slots: s, Allotment: a, Clock: clockwork.NewRealClock()})
}

func urgentGrant() *Grant {
	return &Grant{
		Template:  &statemachine.Template{Name: "t", Pools: []string{"pool"}, Version: 1},
		Workspace: &statemachine.Workspace{Name: "w", Team: "team"},
		Queue:     statemachine.Queue{Name: "q", Class: statemachine.ClassUrgent},
	}
}

func withTimeout(t *testing.T, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

// TestPlace_AssignsReleasedSlotAtOnce checks that a released slot goes to a
// waiting request without the slotPollInterval delay of a search.
func TestPlace_AssignsReleasedSlotAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newPlacementDispatcher(1, 2)
		first, _ := d.place(withTimeout(t, time.Minute), urgentGrant(), "")
		require.NotNil(t, first)
		got := make(chan time.Time)
		go func() {
			slot, _ := d.place(withTimeout(t, time.Minute), urgentGrant(), "")
			require.NotNil(t, slot)
			got <- time.Now()
		}()
		time.Sleep(100*time.Millisecond + slotPollInterval/2)
		freed := time.Now()
		d.cfg.Slots.Release(first)
		require.Equal(t, freed, <-got)
		time.Sleep(2 * slotPollInterval)
	})
}

// TestPlace_OrdersWaitUntilTheirDeadline checks that the maximum wait of urgent
// requests does not apply to orders.
func TestPlace_OrdersWaitUntilTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, start := newPlacementDispatcher(1, 2), time.Now()
		first, _ := d.place(withTimeout(t, time.Minute), urgentGrant(), "")
		// The lease has expired by then, so the slot is found by the search
		// that follows the release.
		time.AfterFunc(5*time.Second+time.Millisecond, func() { d.cfg.Slots.Release(first) })
		grant := urgentGrant()
		grant.Queue.Class = statemachine.ClassOrder
		slot, _ := d.place(withTimeout(t, time.Minute), grant, "")
		require.NotNil(t, slot)
		require.Equal(t, 5*time.Second+slotPollInterval, time.Since(start))
		time.Sleep(2 * slotPollInterval)
	})
}

// TestPlace_RefusesEarly checks that a request that cannot meet its deadline is
// refused at once and takes no slot.
func TestPlace_RefusesEarly(t *testing.T) {
	cases := []struct {
		name         string
		slots, units int64
		ran          time.Duration
		timeout      time.Duration
		code         Code
		after        time.Duration
	}{
		{"run time over the timeout", 1, 1, 500 * time.Millisecond, 300 * time.Millisecond, CodeTimeout, 0},
		{"wait over the maximum", 0, 1, 2 * time.Second, 10 * time.Second, CodeNoCapacity, 0},
		{"no slot within the timeout", 0, 1, 0, 300 * time.Millisecond, CodeNoCapacity, 300 * time.Millisecond},
		{"team at its limit", 1, 0, 0, 300 * time.Millisecond, CodeTeamLimit, 300 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, start := newPlacementDispatcher(c.slots, c.units), time.Now()
				if c.ran > 0 {
					d.waitQueues.forTemplate(urgentGrant().Template).RunTimes(start, "w.q").Observe(start, c.ran)
				}
				slot, outcome := d.place(withTimeout(t, c.timeout), urgentGrant(), "")
				require.Nil(t, slot)
				require.Equal(t, NotRun, outcome.Kind)
				require.Equal(t, c.code, outcome.Code)
				require.Positive(t, outcome.RetryAfter)
				require.InDelta(t, c.after, time.Since(start), float64(2*slotPollInterval))
				time.Sleep(time.Second)
				require.Equal(t, c.slots, d.slots.(*countedSlots).free.Load())
			})
		})
	}
}
