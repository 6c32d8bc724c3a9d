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
	// clockMargin covers the drift between the clocks of two machines within
	// the bounds of a holder.
	clockMargin = 500 * time.Millisecond
	// usageLag is the time by which the platform's records may lag.
	usageLag = 2 * time.Second
)

// limitsModule provides what keeps the teams under their upper limits.
var limitsModule = fx.Module("limits",
	fx.Provide(
		newPermit,
		newGate,
		newBounds,
		quota.NewSurveyor,
		newKeeper,
		newClearer,
		newLender,
		newBorrower,
		newExpulsion,
		fx.Annotate(newLimitsTasks, fx.ResultTags(`group:"tasks,flatten"`)),
		fx.Annotate(newLoanHandler, fx.ResultTags(`group:"peers"`)),
		fx.Annotate(newMemberRoutes, fx.ResultTags(`group:"operator_routes"`)),
		fx.Annotate(newLeavingStep, fx.ResultTags(`group:"stop_steps"`)),
	),
)

func newBounds() quota.ReclaimBounds {
	return quota.ReclaimBounds{
		MaxStateAge: max(currentFor, membership.ReachabilityTimeout), LoanTTL: quota.LoanTTL, SlotLeaseTTL: placement.LeaseTTL,
		ClockMargin: clockMargin, UsageLag: usageLag,
	}
}

func newGate(id identity, ledger *quota.Ledger, p *permit, clock clockwork.Clock) *quota.Gate {
	return quota.NewGate(id.incarnation, ledger, p, clock)
}

func newKeeper(id identity, stream *logstream.Stream, m *membership.Membership, clock clockwork.Clock, logger hclog.Logger) *membership.Controller {
	return membership.NewController(id.incarnation, stream, m, clock, logger)
}

func newClearer(id identity, stream *logstream.Stream, p *permit, surveyor *quota.Surveyor, bounds quota.ReclaimBounds,
	clock clockwork.Clock, logger hclog.Logger,
) *quota.Reclaimer {
	return quota.NewReclaimer(id.incarnation, stream, p, surveyor, bounds, clock, logger)
}

func newLimitsTasks(s settings.Entry, keeper *membership.Controller, clearer *quota.Reclaimer, lender *quota.Lender, borrower *quota.Borrower, e *expulsion) []task {
	out := []task{
		{name: "membership records", run: keeper.Run},
		{name: "removed entries", run: clearer.Run},
		{name: "lapsed loans", run: lender.Run},
		{name: "own removal", run: e.run},
	}
	if !s.NoLoans {
		out = append(out, task{name: "loans", run: borrower.Run})
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
