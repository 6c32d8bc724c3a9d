package entry

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/peer"
	"github.com/anvilcourse/anvilcourse/placement"
	"github.com/anvilcourse/anvilcourse/quota"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	// clockMargin covers the clock drift between two machines over a holder's
	// time bounds.
	clockMargin = 500 * time.Millisecond
	// usageLag is the maximum lag of the platform's records.
	usageLag = 2 * time.Second
)

// limitsModule provides the components that enforce the teams' limits.
var limitsModule = fx.Module("limits",
	fx.Provide(
		newPermit,
		newGate,
		newBounds,
		quota.NewSurveyor,
		newMembershipController,
		newReclaimer,
		newLender,
		newBorrower,
		newRemovalMonitor,
		fx.Annotate(newLimitsTasks, fx.ResultTags(`group:"tasks,flatten"`)),
		fx.Annotate(newLoanHandler, fx.ResultTags(`group:"peers"`)),
		fx.Annotate(newMemberRoutes, fx.ResultTags(`group:"operator_routes"`)),
		fx.Annotate(newLeavingStep, fx.ResultTags(`group:"stop_steps"`)),
	),
)

func newBounds() quota.ReclaimBounds {
	return quota.ReclaimBounds{
		MaxStateAge: max(maxControlStaleness, membership.ReachabilityTimeout), LoanTTL: quota.LoanTTL, SlotLeaseTTL: placement.LeaseTTL,
		ClockMargin: clockMargin, UsageLag: usageLag,
	}
}

func newGate(id identity, ledger *quota.Ledger, p *permit, clock clockwork.Clock) *quota.Gate {
	return quota.NewGate(id.incarnation, ledger, p, clock)
}

func newMembershipController(id identity, stream *logstream.Stream, m *membership.Membership, clock clockwork.Clock, logger hclog.Logger) *membership.Controller {
	return membership.NewController(id.incarnation, stream, m, clock, logger)
}

func newReclaimer(id identity, stream *logstream.Stream, p *permit, surveyor *quota.Surveyor, bounds quota.ReclaimBounds,
	clock clockwork.Clock, logger hclog.Logger,
) *quota.Reclaimer {
	return quota.NewReclaimer(id.incarnation, stream, p, surveyor, bounds, clock, logger)
}

func newLimitsTasks(s settings.Entry, controller *membership.Controller, reclaimer *quota.Reclaimer, lender *quota.Lender, borrower *quota.Borrower, e *removalMonitor) []backgroundTask {
	out := []backgroundTask{
		{name: "membership records", run: controller.Run},
		{name: "removed entries", run: reclaimer.Run},
		{name: "lapsed loans", run: lender.Run},
		{name: "own removal", run: e.run},
	}
	if !s.NoLoans {
		out = append(out, backgroundTask{name: "loans", run: borrower.Run})
	}
	return out
}

func newLender(id identity, stream *logstream.Stream, ledger *quota.Ledger, p *permit, surveyor *quota.Surveyor, bounds quota.ReclaimBounds,
	clock clockwork.Clock, logger hclog.Logger,
) *quota.Lender {
	return quota.NewLender(id.incarnation, stream, ledger, p, surveyor, bounds, clock, logger)
}

func newBorrower(id identity, ledger *quota.Ledger, p *permit, client *peer.Client, clock clockwork.Clock) *quota.Borrower {
	return quota.NewBorrower(id.incarnation, ledger, p, client, clock)
}
