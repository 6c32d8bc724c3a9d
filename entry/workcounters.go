package entry

import (
	"expvar"
	"time"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/job"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// workCounters count the records of orders or jobs that this entry has applied
// since its start, whoever wrote them.
type workCounters struct {
	vars *expvar.Map
}

func newWorkCounters() *workCounters {
	return &workCounters{vars: new(expvar.Map)}
}

// observe counts what a batch did. It implements logstream.Observer.
func (c *workCounters) observe(state *statemachine.State, results []statemachine.Result) {
	for _, result := range results {
		if name := counterOf(state, result); name != "" {
			c.vars.Add(name, 1)
		}
	}
}

// counterOf names the counter of a record, or "" for none. State is the one
// after the record's batch.
func counterOf(state *statemachine.State, result statemachine.Result) string {
	if result.Rejection != nil {
		if result.Kind == statemachine.KindClaim && result.Rejection.Reason == statemachine.ReasonExists {
			return "repeated"
		}
		return ""
	}
	switch command := result.Command.(type) {
	case *statemachine.Claim:
		return "claimed"
	case *statemachine.ClaimSettle:
		return string(command.Outcome)
	case *statemachine.JobAccept:
		return "accepted"
	case *statemachine.JobTakeover:
		return "taken_over"
	case *statemachine.JobStart:
		return "started"
	case *statemachine.JobAttemptFinish:
		return endOfJob(state, command.ID)
	case *statemachine.JobCancel:
		return endOfJob(state, command.ID)
	default:
		return ""
	}
}

// endOfJob is the state that the job has ended in, or "" while it goes on.
func endOfJob(state *statemachine.State, id string) string {
	found, ok := state.Jobs.Get(id)
	if !ok || !found.State.Finished() {
		return ""
	}
	return string(found.State)
}

// publishOrders makes the counters of the orders readable.
func publishOrders(m *metrics, shards orderShards, orders *dispatch.OrderResolver) {
	m.vars.Set("orders", shards.counters.vars)
	m.gauge("orders_open", func() any {
		return countOpen(shards.get(), func(s *statemachine.State) int { return s.UnsettledOrders.Len() })
	})
	m.gauge("orders_settling", func() any { return orders.PendingSettlements() })
	m.gauge("orders_age_ms", func() any { return oldestMS(shards.get()) })
}

// publishJobs makes the counters of the jobs readable.
func publishJobs(m *metrics, shards jobShards, runner *job.Runner) {
	m.vars.Set("jobs", shards.counters.vars)
	m.gauge("jobs_open", func() any {
		return countOpen(shards.get(), func(s *statemachine.State) int { return s.UnfinishedJobs.Len() })
	})
	m.gauge("jobs_here", func() any { return runner.ActiveJobs() })
	m.gauge("jobs_age_ms", func() any { return oldestMS(shards.get()) })
}

// countOpen sums a count over the streams.
func countOpen(shards *logstream.Shards, count func(*statemachine.State) int) int {
	if shards == nil {
		return 0
	}
	open := 0
	for _, stream := range shards.Streams() {
		open += count(stream.State())
	}
	return open
}

// oldestMS is the age of the stream that was read to its end the longest ago,
// in milliseconds, or -1 if one never was.
func oldestMS(shards *logstream.Shards) int64 {
	if shards == nil {
		return -1
	}
	oldest := time.Duration(0)
	for _, stream := range shards.Streams() {
		oldest = max(oldest, stream.Staleness())
	}
	return ageMS(oldest)
}
