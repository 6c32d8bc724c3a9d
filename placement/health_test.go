package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// countingWorkers grants slots except at unresponsive addresses.
type countingWorkers struct {
	provider.Workers
	unresponsive map[string]bool
	requests     map[string]int
}

func (w *countingWorkers) AcquireSlot(_ context.Context, address string, req provider.SlotRequest) (provider.SlotLease, error) {
	w.requests[address]++
	if w.unresponsive[address] {
		return provider.SlotLease{}, &provider.Error{Outcome: provider.Unknown, Code: provider.CodeTimeout}
	}
	return provider.SlotLease{ID: "lease", TTL: req.TTL, FreeSlots: 1}, nil
}

func newHealthPlacer(vms int) (*Placer, *countingWorkers, *clockwork.FakeClock) {
	workers := &countingWorkers{unresponsive: make(map[string]bool), requests: make(map[string]int)}
	clock := clockwork.NewFakeClock()
	state := statemachine.New()
	for i := range vms {
		id := fmt.Sprintf("vm-%d", i)
		state.VMs = state.VMs.Set(id, &statemachine.VM{ID: id, Address: id, Pool: "pool", Rack: fmt.Sprintf("rack-%d", i/4), Slots: 8})
	}
	p := New("self", workers, clock)
	p.SetFleet(state)
	return p, workers, clock
}

func (w *countingWorkers) acquireSlots(p *Placer, searches int) (failed int) {
	clear(w.requests)
	for range searches {
		if _, err := p.Acquire(context.Background(), []string{"pool"}, ""); errors.Is(err, ErrNoSlot) {
			failed++
		}
	}
	return failed
}

// TestPlacer_SkipsUnconfirmedTargets checks that targets expire after
// ConfirmationTTL unless the VM list reports them live.
func TestPlacer_SkipsUnconfirmedTargets(t *testing.T) {
	p, workers, clock := newHealthPlacer(2)
	require.Zero(t, workers.acquireSlots(p, 10))
	clock.Advance(ConfirmationTTL)
	p.HandleVMList([]provider.VMInfo{{ID: "vm-0", State: provider.VMActive}, {ID: "vm-1", State: provider.VMFailed}}, clock.Now())
	clock.Advance(time.Millisecond)
	require.Zero(t, workers.acquireSlots(p, 10))
	require.Zero(t, workers.requests["vm-1"])
	clock.Advance(ConfirmationTTL)
	require.Equal(t, 10, workers.acquireSlots(p, 10))
	require.Empty(t, workers.requests)
}

// TestPlacer_EjectsUnresponsiveTargets checks that unresponsive targets are
// ejected, but only a part of a pool at a time.
func TestPlacer_EjectsUnresponsiveTargets(t *testing.T) {
	cases := []struct{ vms, unresponsive, ejected int }{{10, 1, 1}, {12, 4, 4}, {12, 8, 4}, {2, 2, 1}}
	for _, c := range cases {
		p, workers, _ := newHealthPlacer(c.vms)
		for range ejectAfter {
			for i := range c.unresponsive {
				p.RecordCall(fmt.Sprintf("vm-%d", i), false, 0)
			}
		}
		require.Zero(t, workers.acquireSlots(p, 200))
		require.Len(t, workers.requests, c.vms-c.ejected)
	}
}

// TestPlacer_UsesTargetAgainAfterEjection checks that a target gets work again
// once its ejection has ended.
func TestPlacer_UsesTargetAgainAfterEjection(t *testing.T) {
	p, workers, clock := newHealthPlacer(2)
	p.RecordCall("vm-0", false, 0)
	p.RecordCall("vm-0", false, 0)
	workers.acquireSlots(p, 20)
	require.Zero(t, workers.requests["vm-0"])
	clock.Advance(firstEjection)
	workers.acquireSlots(p, 20)
	require.NotZero(t, workers.requests["vm-0"])
}

// TestTarget_BetterThan checks the precedence of the criteria.
func TestTarget_BetterThan(t *testing.T) {
	p, _, _ := newHealthPlacer(6)
	target := func(id string, free int64, slow bool) *Target {
		v := p.Target(id)
		v.free.Store(free)
		v.health.slowness.Store(0)
		if slow {
			v.health.slowness.Store(2 * slowFactor * slownessUnit)
		}
		return v
	}
	cases := []struct {
		name     string
		a, b     *Target
		avoided  *Target
		expected bool
	}{
		{"more free slots", target("vm-1", 4, false), target("vm-2", 2, false), nil, true},
		{"not slow before more free slots", target("vm-3", 1, false), target("vm-5", 8, true), nil, true},
		{"other rack before more free slots", target("vm-4", 1, false), target("vm-2", 2, false), p.Target("vm-0"), true},
	}
	for _, c := range cases {
		require.Equal(t, c.expected, c.a.betterThan(c.b, c.avoided), c.name)
	}
}
