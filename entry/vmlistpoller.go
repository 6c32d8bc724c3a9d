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
	// maxProposals bounds the VM records that wait for the log concurrently.
	maxProposals = 256
)

// vmListPoller polls the platform's VM list: it passes the list to the placer
// and registers new VMs.
type vmListPoller struct {
	self         string
	vms          provider.VMs
	placer       *placement.Placer
	stream       *logstream.Stream
	clock        clockwork.Clock
	logger       hclog.Logger
	lastListedAt atomic.Pointer[time.Time]
}

// listedAt returns when the last successful request for the VM list was sent.
func (p *vmListPoller) listedAt() time.Time {
	if at := p.lastListedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (p *vmListPoller) run(ctx context.Context) {
	ticker := p.clock.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (p *vmListPoller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	requestedAt := p.clock.Now()
	list, err := p.vms.List(ctx)
	if err != nil {
		p.logger.Debug("failed to read the VM list", "error", err.Error())
		return
	}
	p.placer.HandleVMList(list, requestedAt)
	p.lastListedAt.Store(&requestedAt)
	if isFirstMember(p.stream.State(), p.self) {
		p.registerVMs(ctx, list)
		p.writeHealth(ctx, list)
	}
}

// registerVMs proposes the listed VMs that the control state lacks. The record
// is rejected if another entry's came first.
func (p *vmListPoller) registerVMs(ctx context.Context, list []provider.VMInfo) {
	state := p.stream.State()
	var commands []statemachine.Command
	for _, info := range list {
		_, known := state.VMs.Get(info.ID)
		_, pooled := state.Pools.Get(info.Pool)
		if !known && pooled && info.State == provider.VMActive {
			commands = append(commands, &statemachine.VMAdd{VM: vmOf(info)})
		}
	}
	p.proposeAll(ctx, commands)
}

// proposeAll proposes the commands, a bounded number at a time: operators'
// changes wait for the log in the same queue.
func (p *vmListPoller) proposeAll(ctx context.Context, commands []statemachine.Command) {
	var group errgroup.Group
	group.SetLimit(maxProposals)
	for _, command := range commands {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			if _, err := p.stream.Propose(ctx, command); err != nil {
				vm := statemachine.SubjectOf(command).VM
				p.logger.Debug("failed to write a VM record", "kind", command.Kind(), "vm", vm, "error", err.Error())
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

// isFirstMember reports whether the incarnation is the first member in order.
// Only the first does the work; two entries doing it at once are harmless.
func isFirstMember(state *statemachine.State, self string) bool {
	for incarnation := range state.Members() {
		return incarnation == self
	}
	return false
}
