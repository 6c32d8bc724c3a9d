package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/provider/fakeworkers"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

const (
	testTeam  = "team"
	testKey   = "key"
	testSlots = 8
)

// fixedControl is a configuration that is always current.
type fixedControl struct {
	state *statemachine.State
}

func (c fixedControl) State() *statemachine.State { return c.state }
func (c fixedControl) Current() bool              { return true }

// newFixedControl returns a state with the VMs in one pool and one queue of
// each class.
func newFixedControl(t testing.TB, vms int, address func(int) string) fixedControl {
	t.Helper()
	commands := []statemachine.Command{
		&statemachine.PoolSet{Pool: statemachine.Pool{Name: "pool"}},
		&statemachine.TemplateSet{Template: statemachine.Template{Name: "template", Pools: []string{"pool"}, Queues: []statemachine.Queue{
			{Name: "urgent", Class: statemachine.ClassUrgent, Idempotent: true},
			{Name: "order", Class: statemachine.ClassOrder},
			{Name: "job", Class: statemachine.ClassJob, Idempotent: true},
		}}},
		&statemachine.WorkspaceSet{Workspace: statemachine.Workspace{Name: "w", Template: "template", Team: testTeam, Limit: 100}},
		&statemachine.KeyGrant{Hash: statemachine.HashKey(testKey), Workspace: "w"},
	}
	for i := range vms {
		commands = append(commands, &statemachine.VMAdd{VM: statemachine.VM{ID: vmID(i), Address: address(i), Pool: "pool", Slots: testSlots}})
	}
	batch := statemachine.Batch{Writer: "operator"}
	for i, c := range commands {
		batch.Records = append(batch.Records, statemachine.Record{Seq: uint64(i + 1), Command: c})
	}
	state, results := statemachine.New().Apply(0, batch)
	for _, r := range results {
		require.Nil(t, r.Rejection)
	}
	return fixedControl{state: state}
}

func vmID(i int) string { return fmt.Sprintf("vm-%d", i) }

// testDispatcher is one entry's dispatcher on a fake fleet.
type testDispatcher struct {
	*Dispatcher
	fleet  *fakeworkers.Fleet
	ledger *quota.Ledger
}

// newTestDispatcher returns a dispatcher that runs until ctx ends.
func newTestDispatcher(ctx context.Context, t testing.TB, incarnation string, fleet *fakeworkers.Fleet, workers provider.Workers, vms int) *testDispatcher {
	t.Helper()
	clock := clockwork.NewRealClock()
	control := newFixedControl(t, vms, vmID)
	b := &testDispatcher{fleet: fleet, ledger: quota.NewLedger()}
	slots := firstFitSlots{workers: workers, holder: incarnation, vms: vms, ttl: placement.LeaseTTL}
	b.ledger.SetAllotted(testTeam, 100)
	gate := quota.NewGate(incarnation, b.ledger, alwaysPermitted{}, clock)
	inDoubt := NewInDoubtSet(workers, clock, gate.Release)
	b.Dispatcher = New(Config{
		Incarnation: incarnation, Control: control, Slots: slots, Allotment: gate, Workers: workers,
		InDoubt: inDoubt, Clock: clock, Ring: timeline.NewRing(64), DefaultTimeout: 10 * time.Second,
	})
	go inDoubt.Run(ctx)
	return b
}

// firstFitSlots leases a slot of the first VM that grants one and is not
// avoided.
type firstFitSlots struct {
	workers provider.Workers
	holder  string
	vms     int
	ttl     time.Duration
}

func (s firstFitSlots) Acquire(ctx context.Context, _ []string, avoid string) (*placement.LeasedSlot, error) {
	for i := range s.vms {
		id := vmID(i)
		if id == avoid {
			continue
		}
		lease, err := s.workers.AcquireSlot(ctx, id, provider.SlotRequest{Holder: s.holder, TTL: s.ttl})
		if err == nil {
			target := &placement.Target{ID: id, Address: id, Pool: "pool"}
			return &placement.LeasedSlot{Target: target, LeaseID: lease.ID, Record: lease.RecordID, Started: lease.TasksStarted}, nil
		}
	}
	return nil, placement.ErrNoSlot
}

func (s firstFitSlots) Release(slot *placement.LeasedSlot) {
	_ = s.workers.ReleaseSlot(context.Background(), slot.Target.Address, slot.LeaseID)
}

func (s firstFitSlots) MarkDraining(*placement.LeasedSlot) {}

// alwaysPermitted permits use of the allotment at any time.
type alwaysPermitted struct{}

func (alwaysPermitted) MayUseAllotment() bool { return true }

func newFleet(vms int) *fakeworkers.Fleet {
	fleet := fakeworkers.New(clockwork.NewRealClock())
	for i := range vms {
		fleet.AddVM(vmID(i), testSlots)
	}
	return fleet
}

// bubbleContext ends with the test and waits for the bubble's goroutines.
func bubbleContext(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * time.Hour)
	})
	return ctx
}
