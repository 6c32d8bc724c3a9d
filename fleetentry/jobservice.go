package fleetentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/fleet"
	"github.com/anvilcourse/anvilcourse/ledger"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	// defaultRequestTimeout applies to calls that state no timeout.
	defaultRequestTimeout = 2500 * time.Millisecond
	// responseMargin is the part of a request timeout reserved for the response.
	responseMargin = 250 * time.Millisecond
	// maxStateStaleness is the staleness from which the state no longer proves that a
	// job does not exist.
	maxStateStaleness = 2 * time.Second
	// refreshTimeout bounds how long a query for a job's state waits for the store;
	// the entry then answers with what it knows. The store usually responds in 4 ms
	// and is up to sixty times slower on bad days.
	refreshTimeout = 300 * time.Millisecond
	// storeLostRetryAfter is when to retry at an entry that has lost the store.
	storeLostRetryAfter = time.Second
	// jobIDDigits is the length of a job's ID.
	jobIDDigits = 16
)

// JobService answers the calls of clients.
type JobService struct {
	follower *Follower
	operator *OperatorWatcher
	appender *Appender
	memory   *jobMemory
	decoder  Decoder
	metrics  *Metrics
	log      hclog.Logger
	stopping atomic.Bool
}

// NewJobService returns the service that clients call.
func NewJobService(settings settings.FleetEntry, f *Follower, o *OperatorWatcher, a *Appender, d Decoder, m *Metrics, log hclog.Logger) *JobService {
	return &JobService{follower: f, operator: o, appender: a, memory: newJobMemory(settings), decoder: d, metrics: m, log: log.Named("callers")}
}

// Serve answers one call.
func (s *JobService) Serve(ctx context.Context, call fleet.Call) fleet.Reply {
	start := time.Now()
	reply, queue, id := s.serve(ctx, call, start)
	reply.Close = s.stopping.Load()
	s.metrics.RecordCall(call.Kind, reply.Kind, time.Since(start))
	if call.Kind != fleet.CallState || reply.Kind == fleet.ReplyGone || reply.Kind >= fleet.ReplyNoQueue {
		version := int64(0)
		if m := s.operator.Manifest(); m != nil {
			version = m.Version
		}
		s.log.Info("call", "request", id, "queue", queue, "kind", int(call.Kind), "outcome", reply.Kind.String(),
			"manifest", version, "ms", time.Since(start).Milliseconds(), "why", reply.Message)
	}
	return reply
}

func (s *JobService) serve(ctx context.Context, call fleet.Call, start time.Time) (reply fleet.Reply, queue, id string) {
	m := s.operator.Manifest()
	if m == nil {
		return fleet.Reply{Kind: fleet.ReplyRejected, RetryAfter: storeLostRetryAfter, Message: "no manifest is known yet"}, "", ""
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
		return s.pending(ctx, q, call), q.Name, id
	}
	if !validJobID(id) {
		return fleet.Reply{Kind: fleet.ReplyInvalid, Message: "a job's ID has 16 hexadecimal digits"}, q.Name, id
	}
	deadline := start.Add(requestTimeout(call, q) - responseMargin)
	switch call.Kind {
	case fleet.CallSubmit:
		return s.submit(ctx, m, q, team, id, call, deadline), q.Name, id
	case fleet.CallState:
		return s.state(ctx, id), q.Name, id
	case fleet.CallCancel:
		return s.cancel(ctx, id, deadline), q.Name, id
	default:
		return fleet.Reply{Kind: fleet.ReplyInvalid, Message: "the method is not known"}, q.Name, id
	}
}

func requestTimeout(call fleet.Call, q *fleet.Queue) time.Duration {
	timeout := defaultRequestTimeout
	if call.Timeout > 0 {
		timeout = call.Timeout
	}
	if q.Timeout > 0 && q.Timeout < timeout {
		timeout = q.Timeout
	}
	return timeout
}

func validJobID(id string) bool {
	if len(id) != jobIDDigits {
		return false
	}
	for _, ch := range []byte(id) {
		if (ch < '0' || ch > '9') && (ch < 'a' || ch > 'f') && (ch < 'A' || ch > 'F') {
			return false
		}
	}
	return true
}

func (s *JobService) pending(ctx context.Context, q *fleet.Queue, call fleet.Call) fleet.Reply {
	if call.Kind != fleet.CallState {
		return fleet.Reply{Kind: fleet.ReplyInvalid, Message: "the path names no job"}
	}
	s.refresh(ctx, false)
	if staleness, ok := s.follower.Staleness(time.Now()); !ok || staleness > maxStateStaleness {
		return fleet.Reply{Kind: fleet.ReplyRejected, RetryAfter: storeLostRetryAfter, Message: "the state is too old"}
	}
	out := fleet.Reply{Kind: fleet.ReplyPending}
	s.follower.Read(func(v *ledger.View) { out.Pending = v.Pending(q.Name) })
	return out
}

func (s *JobService) submit(ctx context.Context, m *fleet.Manifest, q *fleet.Queue, team, id string, call fleet.Call, deadline time.Time) fleet.Reply {
	if m.MaxBodyBytes > 0 && int64(len(call.Body)) > m.MaxBodyBytes {
		return fleet.Reply{Kind: fleet.ReplyTooLarge, Message: "the body is larger than the manifest allows"}
	}
	sub, err := s.decoder.Submission(call.Body)
	if err != nil {
		return fleet.Reply{Kind: fleet.ReplyInvalid, Message: err.Error()}
	}
	sub.ID, sub.Team, sub.ArrivedMillis = id, team, time.Now().UnixMilli()
	sub.AcceptUnder(m, q)
	switch known, reason := s.reserve(ctx, &sub); {
	case known:
		return fleet.Reply{Kind: fleet.ReplyAccepted}
	case reason != "":
		s.metrics.Add("jobs_rejected_for_memory", 1)
		return fleet.Reply{Kind: fleet.ReplyRejected, RetryAfter: jobMemoryRetryAfter, Message: reason}
	}
	reply := s.storeRecords(ctx, []fleet.Record{ledger.SubmissionRecord(sub)}, deadline)
	if reply.Kind != fleet.ReplyAccepted && reply.Kind != fleet.ReplyUnknown {
		s.memory.release(id)
	}
	return reply
}

// reserve counts what the job takes in memory. It reports whether the job is known already, or
// why there is no room for it: that is said of the newest state only, as the job may have been
// accepted by another entry.
func (s *JobService) reserve(ctx context.Context, sub *fleet.Submission) (known bool, reason string) {
	try := func() {
		s.follower.Read(func(v *ledger.View) {
			if j := v.Jobs[sub.ID]; j != nil && j.Submission != nil {
				known = true
				return
			}
			reason = s.memory.reserve(v, sub, time.Now())
		})
	}
	if try(); !known && reason != "" {
		s.refresh(ctx, false)
		try()
	}
	return known, reason
}

// storeRecords appends the records and reports the known outcome.
func (s *JobService) storeRecords(ctx context.Context, records []fleet.Record, deadline time.Time) fleet.Reply {
	err := s.appender.Append(ctx, records, deadline)
	switch {
	case err == nil:
		return fleet.Reply{Kind: fleet.ReplyAccepted}
	case errors.Is(err, errRecordTooLarge):
		return fleet.Reply{Kind: fleet.ReplyTooLarge, Message: err.Error()}
	case provider.OutcomeOf(err) == provider.Refused:
		return fleet.Reply{Kind: fleet.ReplyRejected, RetryAfter: storeLostRetryAfter, Message: err.Error()}
	default:
		return fleet.Reply{Kind: fleet.ReplyUnknown, Message: err.Error()}
	}
}

// state reports a job's state. A state that can still change is read again from the
// store: entries read it rarely by themselves.
func (s *JobService) state(ctx context.Context, id string) fleet.Reply {
	state := s.knownState(id)
	if !state.Final() {
		s.refresh(ctx, state != ledger.StateUnknown)
		state = s.knownState(id)
	}
	if state == ledger.StateUnknown {
		// Which alternate streams are in use is known with the leader's heartbeat
		// only, which a busy leader sends late.
		catchUpCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := s.follower.CatchUpUnusedStreams(catchUpCtx)
		cancel()
		if err != nil {
			return fleet.Reply{Kind: fleet.ReplyUnknown, Message: "the streams cannot be read whole: " + err.Error()}
		}
		state = s.knownState(id)
	}
	if state != ledger.StateUnknown {
		return fleet.Reply{Kind: fleet.ReplyState, State: string(state)}
	}
	if staleness, ok := s.follower.Staleness(time.Now()); !ok || staleness > maxStateStaleness {
		return fleet.Reply{Kind: fleet.ReplyUnknown, Message: "the state is too old to tell"}
	}
	return fleet.Reply{Kind: fleet.ReplyGone}
}

// refresh waits some time for the newest state; known means that the job is known to
// exist.
func (s *JobService) refresh(ctx context.Context, known bool) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	s.follower.Refresh(ctx, known)
}

// knownState returns the job's state as this entry knows it.
func (s *JobService) knownState(id string) ledger.State {
	state := ledger.StateUnknown
	s.follower.Read(func(v *ledger.View) {
		if j, known := v.Jobs[id]; known {
			state = j.State()
		}
	})
	return state
}

// cancel stores the cancellation, also of a job that is not known yet: its submission
// may be in flight.
func (s *JobService) cancel(ctx context.Context, id string, deadline time.Time) fleet.Reply {
	switch s.knownState(id) {
	case ledger.StateCancelled:
		return fleet.Reply{Kind: fleet.ReplyAccepted}
	case ledger.StateCompleted, ledger.StateFailed:
		return fleet.Reply{Kind: fleet.ReplyGone, Message: "the job has ended"}
	}
	return s.storeRecords(ctx, []fleet.Record{ledger.CancellationRecord(id, time.Now().UnixMilli())}, deadline)
}

// StartShutdown makes replies request a new connection.
func (s *JobService) StartShutdown() { s.stopping.Store(true) }
