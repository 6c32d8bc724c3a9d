package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

const (
	listInterval = 500 * time.Millisecond
	listTimeout  = time.Second
	// maxProposals bounds the records of VMs that wait for the log at once.
	maxProposals = 256
)

// fleetWatch follows the platform's VM list: it tells the placer which VMs
// are live and registers new ones.
type fleetWatch struct {
	self   string
	vms    provider.VMs
	placer *placement.Placer
	stream *logstream.Stream
	clock  clockwork.Clock
	logger hclog.Logger
	listed atomic.Pointer[time.Time]
}

// listedAt returns when the VM list was last asked for with success.
func (f *fleetWatch) listedAt() time.Time {
	if at := f.listed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (f *fleetWatch) run(ctx context.Context) {
	ticker := f.clock.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		f.once(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (f *fleetWatch) once(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := f.clock.Now()
	list, err := f.vms.List(ctx)
	if err != nil {
		f.logger.Debug("VM list not read", "error", err.Error())
		return
	}
	f.placer.HandleVMList(list, asked)
	f.listed.Store(&asked)
	if isFirst(f.stream.State(), f.self) {
		f.register(ctx, list)
		f.writeHealth(ctx, list)
	}
}

// register proposes the listed VMs that the control state lacks. A record
// that another entry wrote first makes this one void.
func (f *fleetWatch) register(ctx context.Context, list []provider.VMInfo) {
	state := f.stream.State()
	var commands []statemachine.Command
	for _, info := range list {
		_, known := state.VMs.Get(info.ID)
		_, pooled := state.Pools.Get(info.Pool)
		if !known && pooled && info.State == provider.VMActive {
			commands = append(commands, &statemachine.VMAdd{VM: vmOf(info)})
		}
	}
	f.proposeAll(ctx, commands)
}

// proposeAll writes the commands, a bounded number at a time: operators'
// changes wait in the same queue for the log.
func (f *fleetWatch) proposeAll(ctx context.Context, commands []statemachine.Command) {
	var group errgroup.Group
	group.SetLimit(maxProposals)
	for _, command := range commands {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			if _, err := f.stream.Propose(ctx, command); err != nil {
				vm := statemachine.SubjectOf(command).VM
				f.logger.Debug("record of a VM not written", "kind", command.Kind(), "vm", vm, "error", err.Error())
			}
			return nil
		})
	}
	_ = group.Wait()
}

func vmOf(info provider.VMInfo) statemachine.VM {
	return statemachine.VM{
		ID: info.ID, Address: info.Address, Pool: info.Pool,
		AvailabilityZone: info.AvailabilityZone, Rack: info.Rack, Slots: info.Slots,
	}
}

// isFirst reports whether the incarnation is the first member in order. It
// spares the others the work, and two first ones at once do no harm.
func isFirst(state *statemachine.State, self string) bool {
	for incarnation := range state.Members() {
		return incarnation == self
	}
	return false
}
