package fleetentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
)

const (
	// defaultPatience is how long callers wait that do not say so.
	defaultPatience = 2500 * time.Millisecond
	// answerMargin is the part of a caller's patience kept for the way back.
	answerMargin = 250 * time.Millisecond
	// staleState is the age from which the state no longer proves that a job
	// does not exist.
	staleState = 2 * time.Second
	// refreshPatience bounds how long a question for a job's state waits for the
	// store; after it the entry tells what it knows. The store answers in 4 ms as a
	// rule and is up to sixty times slower on bad days.
	refreshPatience = 300 * time.Millisecond
	// storeLostRetry is when to come back to an entry that has lost the store.
	storeLostRetry = time.Second
	// idDigits is the length of a job's ID.
	idDigits = 16
)

// JobService answers the calls of clients.
type JobService struct {
	follower *Follower
	operator *OperatorWatcher
	appender *Appender
	decoder  Decoder
	metrics  *Metrics
	log      hclog.Logger
	stopping atomic.Bool
}

// NewJobService returns the service that clients call.
func NewJobService(f *Follower, o *OperatorWatcher, a *Appender, d Decoder, m *Metrics, log hclog.Logger) *JobService {
	return &JobService{follower: f, operator: o, appender: a, decoder: d, metrics: m, log: log.Named("callers")}
}

// Serve answers one call.
func (c *JobService) Serve(ctx context.Context, call fleet.Call) fleet.Reply {
	began := time.Now()
	reply, queue, id := c.serve(ctx, call, began)
	reply.Close = c.stopping.Load()
	c.metrics.RecordCall(call.Kind, reply.Kind, time.Since(began))
	if call.Kind != fleet.CallState || reply.Kind == fleet.ReplyGone || reply.Kind >= fleet.ReplyNoQueue {
		version := int64(0)
		if m := c.operator.Manifest(); m != nil {
			version = m.Version
		}
		c.log.Info("call", "request", id, "queue", queue, "kind", int(call.Kind), "outcome", reply.Kind.String(),
			"manifest", version, "ms", time.Since(began).Milliseconds(), "why", reply.Message)
	}
	return reply
}

func (c *JobService) serve(ctx context.Context, call fleet.Call, began time.Time) (reply fleet.Reply, queue, id string) {
	m := c.operator.Manifest()
	if m == nil {
		return fleet.Reply{Kind: fleet.ReplyRejected, RetryAfter: storeLostRetry, Message: "no manifest is known yet"}, "", ""
	}
	q := m.QueueFor(call.Host, call.Path)
	if q == nil {
		return fleet.Reply{Kind: fleet.ReplyNoQueue, Message: "no queue takes this host and path"}, "", ""
	}
	id = call.Path[len(q.Prefix):]
	team, known := m.TeamByKey[call.Key]
	if !known && !q.Public {
		return fleet.Reply{Kind: fleet.ReplyUnauthorized, Message: "the key is not known"}, q.Name, id
	}
	if id == "" {
		return c.pending(ctx, q, call), q.Name, id
	}
	if !validID(id) {
		return fleet.Reply{Kind: fleet.ReplyInvalid, Message: "a job's ID has 16 hexadecimal digits"}, q.Name, id
	}
	until := began.Add(patience(call, q) - answerMargin)
	switch call.Kind {
	case fleet.CallSubmit:
		return c.submit(ctx, m, q, team, id, call, until), q.Name, id
	case fleet.CallState:
		return c.state(ctx, id), q.Name, id
	case fleet.CallCancel:
		return c.cancel(ctx, id, until), q.Name, id
	default:
		return fleet.Reply{Kind: fleet.ReplyInvalid, Message: "the method is not known"}, q.Name, id
	}
}

func patience(call fleet.Call, q *fleet.Queue) time.Duration {
	p := defaultPatience
	if call.Timeout > 0 {
		p = call.Timeout
	}
	if q.Timeout > 0 && q.Timeout < p {
		p = q.Timeout
	}
	return p
}

func validID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, ch := range []byte(id) {
		if (ch < '0' || ch > '9') && (ch < 'a' || ch > 'f') && (ch < 'A' || ch > 'F') {
			return false
		}
	}
	return true
}

func (c *JobService) pending(ctx context.Context, q *fleet.Queue, call fleet.Call) fleet.Reply {
	if call.Kind != fleet.CallState {
		return fleet.Reply{Kind: fleet.ReplyInvalid, Message: "the path names no job"}
	}
	c.refresh(ctx, false)
	if age, ok := c.follower.Staleness(time.Now()); !ok || age > staleState {
		return fleet.Reply{Kind: fleet.ReplyRejected, RetryAfter: storeLostRetry, Message: "the state is too old"}
	}
	out := fleet.Reply{Kind: fleet.ReplyPending}
	c.follower.Read(func(v *ledger.View) { out.Pending = v.Pending(q.Name) })
	return out
}

func (c *JobService) submit(ctx context.Context, m *fleet.Manifest, q *fleet.Queue, team, id string, call fleet.Call, until time.Time) fleet.Reply {
	if m.MaxBodyBytes > 0 && int64(len(call.Body)) > m.MaxBodyBytes {
		return fleet.Reply{Kind: fleet.ReplyTooLarge, Message: "the body is larger than the manifest allows"}
	}
	sub, err := c.decoder.Submission(call.Body)
	if err != nil {
		return fleet.Reply{Kind: fleet.ReplyInvalid, Message: err.Error()}
	}
	known := false
	c.follower.Read(func(v *ledger.View) {
		if j, there := v.Jobs[id]; there && j.Submission != nil {
			known = true
		}
	})
	if known {
		return fleet.Reply{Kind: fleet.ReplyAccepted}
	}
	sub.ID, sub.Queue, sub.Team, sub.ArrivedMillis = id, q.Name, team, time.Now().UnixMilli()
	return c.store(ctx, []fleet.Record{ledger.SubmissionRecord(sub)}, until)
}

// store appends the records and tells what is known of the outcome.
func (c *JobService) store(ctx context.Context, records []fleet.Record, until time.Time) fleet.Reply {
	err := c.appender.Append(ctx, records, until)
	switch {
	case err == nil:
		return fleet.Reply{Kind: fleet.ReplyAccepted}
	case provider.OutcomeOf(err) == provider.Refused:
		return fleet.Reply{Kind: fleet.ReplyRejected, RetryAfter: storeLostRetry, Message: err.Error()}
	default:
		return fleet.Reply{Kind: fleet.ReplyUnknown, Message: err.Error()}
	}
}

// state tells how far a job is. A state that can still change is looked up again
// in the store: entries read it rarely by themselves.
func (c *JobService) state(ctx context.Context, id string) fleet.Reply {
	state := c.known(id)
	if !state.Final() {
		c.refresh(ctx, state != ledger.StateUnknown)
		state = c.known(id)
	}
	if state == ledger.StateUnknown {
		// Whether entries write aside is known with the owner's heartbeat only, which
		// a busy owner tells late.
		asideCtx, cancel := context.WithTimeout(ctx, refreshPatience)
		err := c.follower.CatchUpUnusedStreams(asideCtx)
		cancel()
		if err != nil {
			return fleet.Reply{Kind: fleet.ReplyUnknown, Message: "the streams cannot be read whole: " + err.Error()}
		}
		state = c.known(id)
	}
	if state != ledger.StateUnknown {
		return fleet.Reply{Kind: fleet.ReplyState, State: string(state)}
	}
	if age, ok := c.follower.Staleness(time.Now()); !ok || age > staleState {
		return fleet.Reply{Kind: fleet.ReplyUnknown, Message: "the state is too old to tell"}
	}
	return fleet.Reply{Kind: fleet.ReplyGone}
}

// refresh waits some time for the newest state; known tells that whether the job
// exists is not in question.
func (c *JobService) refresh(ctx context.Context, known bool) {
	ctx, cancel := context.WithTimeout(ctx, refreshPatience)
	defer cancel()
	c.follower.Refresh(ctx, known)
}

// known returns the job's state as this entry knows it.
func (c *JobService) known(id string) ledger.State {
	state := ledger.StateUnknown
	c.follower.Read(func(v *ledger.View) {
		if j, known := v.Jobs[id]; known {
			state = j.State()
		}
	})
	return state
}

// cancel stores the cancellation, also of a job that is not known yet: its
// submission may be on its way.
func (c *JobService) cancel(ctx context.Context, id string, until time.Time) fleet.Reply {
	switch c.known(id) {
	case ledger.StateCancelled:
		return fleet.Reply{Kind: fleet.ReplyAccepted}
	case ledger.StateCompleted, ledger.StateFailed:
		return fleet.Reply{Kind: fleet.ReplyGone, Message: "the job has ended"}
	}
	return c.store(ctx, []fleet.Record{ledger.CancellationRecord(id, time.Now().UnixMilli())}, until)
}

// StartShutdown makes answers ask clients for another connection.
func (c *JobService) StartShutdown() { c.stopping.Store(true) }
