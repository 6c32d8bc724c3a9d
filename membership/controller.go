package membership

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

const proposeTimeout = 2 * time.Second

// Proposer writes records to the control stream and reads its state.
type Proposer interface {
	Propose(ctx context.Context, command statemachine.Command) (statemachine.Result, error)
	State() *statemachine.State
}

// Controller acknowledges membership changes in the control stream and removes
// unreachable members.
type Controller struct {
	self     string
	proposer Proposer
	members  *Membership
	detector *FailureDetector
	clock    clockwork.Clock
	logger   hclog.Logger
}

// NewController returns the controller of the entry incarnation.
func NewController(self string, proposer Proposer, members *Membership, clock clockwork.Clock, logger hclog.Logger) *Controller {
	return &Controller{self: self, proposer: proposer, members: members, detector: NewFailureDetector(), clock: clock, logger: logger}
}

// Run runs the controller until the context ends. One record at a time is being
// proposed, while the rounds of the detector continue.
func (c *Controller) Run(ctx context.Context) {
	ticker := c.clock.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	idle := make(chan struct{}, 1)
	idle <- struct{}{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		command := c.nextCommand()
		if command == nil {
			continue
		}
		select {
		case <-idle:
			wg.Go(func() {
				c.propose(ctx, command)
				idle <- struct{}{}
			})
		default:
		}
	}
}

// nextCommand observes a round and returns the record that is due, or nil.
func (c *Controller) nextCommand() statemachine.Command {
	state := c.proposer.State()
	unreachable := c.detector.Observe(c.newRound(state))
	entry, ok := state.Member(c.self)
	if !ok {
		return nil
	}
	if entry.AcknowledgedVersion != state.MembershipVersion {
		return &statemachine.EntryAck{Version: state.MembershipVersion}
	}
	if len(unreachable) > 0 {
		return &statemachine.EntryRemove{Incarnation: unreachable[0]}
	}
	return nil
}

func (c *Controller) newRound(state *statemachine.State) Round {
	r := Round{At: c.clock.Now(), ReachableSets: make(map[string][]uint32)}
	for incarnation := range state.Members() {
		if incarnation != c.self {
			r.Members = append(r.Members, incarnation)
		}
	}
	for _, member := range c.members.Reachable() {
		if _, ok := state.Member(member.Incarnation); ok && member.Incarnation != c.self {
			r.ReachableSets[member.Incarnation] = member.LastHeartbeat.GetReachable()
		}
	}
	return r
}

func (c *Controller) propose(ctx context.Context, command statemachine.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.proposer.Propose(ctx, command)
	if err != nil {
		c.logger.Debug("failed to write a membership record", "kind", command.Kind(), "error", err.Error())
		return
	}
	if remove, ok := command.(*statemachine.EntryRemove); ok && result.Rejection == nil {
		c.logger.Warn("entry removed from the membership", "incarnation", remove.Incarnation, "offset", result.Offset)
	}
}
