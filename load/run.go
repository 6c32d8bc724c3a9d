package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Outcomes of a submission as the callers' interface names them.
const (
	answered = "answered"
	notRun   = "not_run"
	failed   = "failed"
	unknown  = "unknown"
)

// runner is one run of a load.
type runner struct {
	cfg     Config
	entries []string
	teams   []*team
	classes map[Class]*tally
	fates   *fates
	start   time.Time
	sent    atomic.Int64
	calls   sync.WaitGroup

	openJobs atomic.Int64
	mu       sync.Mutex
	// accepted counts the accepted jobs, brokenJobs those that broke their
	// promise, and wrongJobs those with an answer of another one.
	accepted, brokenJobs, wrongJobs int
	// brokenJob says what was wrong with the first broken job.
	brokenJob string
}

func newRunner(cfg Config) *runner {
	r := &runner{cfg: cfg, classes: make(map[Class]*tally), fates: newFates(), start: time.Now()}
	for _, class := range classes {
		r.classes[class] = newTally()
	}
	return r
}

// Run drives the load through every entry that the operator's entry knows, and
// waits for the last answer and the end of the last job. It grants a key per
// workspace and withdraws it at the end. Once the context ends it submits
// nothing more, stops watching jobs, and reports what there is. An error means
// that the load could not be driven.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := newRunner(cfg)
	status, err := cfg.Operator.Status(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the status")
	}
	for _, e := range status.Entries {
		if e.Reachable || e.Incarnation == status.Incarnation {
			r.entries = append(r.entries, "http://"+e.ClientAddress)
		}
	}
	withdraw, err := r.grant(ctx)
	defer withdraw()
	if err != nil {
		return nil, err
	}
	r.drive(ctx)
	out := r.report()
	out.Interrupted = ctx.Err() != nil
	out.Guarantees = r.promises(out)
	return out, nil
}

// grant makes the teams with a key each. The result withdraws the keys.
func (r *runner) grant(ctx context.Context) (withdraw func(), err error) {
	var hashes []string
	withdraw = func() {
		for _, hash := range hashes {
			_, _ = r.cfg.Operator.WithdrawKey(context.WithoutCancel(ctx), hash)
		}
	}
	for _, w := range r.cfg.Catalog.Workspaces {
		key, err := r.cfg.Operator.GrantKey(ctx, api.KeyGrantRequest{Workspace: w.Name, Label: "load"})
		if err != nil {
			return withdraw, errors.Wrapf(err, "grant a key for %s", w.Name)
		}
		hashes = append(hashes, key.Hash)
		t := newTeam(w.Team, float64(w.SharePermille), float64(w.Limit))
		t.key = key.Key
		t.findQueues(r.cfg.Catalog.Template, w.Name)
		if err := r.checkQueues(t); err != nil {
			return withdraw, err
		}
		r.teams = append(r.teams, t)
	}
	return withdraw, nil
}

// checkQueues reports what the catalog lacks for the load.
func (r *runner) checkQueues(t *team) error {
	switch {
	case t.urgent == "" && r.cfg.OrderFraction < 1:
		return errors.New("the catalog's template has no urgent queue; use -orders 1")
	case t.order == "" && r.cfg.OrderFraction > 0:
		return errors.New("the catalog's template has no queue for orders; use -orders 0")
	case t.job == "" && t.jobOnce == "" && r.cfg.JobRate > 0:
		return errors.New("the catalog's template has no queue for jobs; use -jobs 0")
	}
	return nil
}

// drive submits the work of all teams until the time or the number is over,
// and waits for its end.
func (r *runner) drive(ctx context.Context) {
	r.start = time.Now()
	sending, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	hide := r.startProgress(ctx)
	defer hide()
	weights := 0.0
	for _, t := range r.teams {
		weights += t.weight
	}
	var wg sync.WaitGroup
	for i, t := range r.teams {
		part := t.weight / weights
		wg.Go(func() { r.arrivals(sending, i, requestArrivals, r.cfg.Rate*part, r.sendRequest(ctx, t)) })
		wg.Go(func() { r.arrivals(sending, i, jobArrivals, r.cfg.JobRate*part, r.sendJob(ctx, t)) })
	}
	wg.Wait()
	r.calls.Wait()
}

// arrivalKind keeps the random numbers of requests and jobs apart.
type arrivalKind uint64

const (
	requestArrivals arrivalKind = 0
	jobArrivals     arrivalKind = 1 << 32
)

// arrivals calls send at random times with the given mean rate, whether or not
// earlier work has ended.
func (r *runner) arrivals(ctx context.Context, index int, kind arrivalKind, mean float64, send func(*rand.Rand, int64)) {
	if mean <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(index)|uint64(kind)))
	next := time.Duration(0)
	for {
		rate := mean
		if !r.cfg.Steady {
			rate *= factor(index, next)
		}
		next += gap(rng, rate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(r.start.Add(next))):
		}
		number := r.sent.Add(1)
		if number > int64(r.cfg.MaxRequests) {
			return
		}
		send(rng, number)
	}
}

// entry returns any entry's callers' address.
func (r *runner) entry(rng *rand.Rand) string {
	return r.entries[rng.IntN(len(r.entries))]
}

// queueOf returns the full name of the workspace's first queue that fits, or
// "".
func queueOf(t statemachine.Template, workspace string, fits func(statemachine.Queue) bool) string {
	for _, q := range t.Queues {
		if fits(q) {
			return workspace + "." + q.Name
		}
	}
	return ""
}
