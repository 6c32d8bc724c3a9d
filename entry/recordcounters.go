package entry

import (
	"expvar"
	"time"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/job"
	"github.com/anvilcourse/anvilcourse/logstream"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// recordCounters count the order or job records that this entry has applied
// since its start, from any writer.
type recordCounters struct {
	vars *expvar.Map
}

func newRecordCounters() *recordCounters {
	return &recordCounters{vars: new(expvar.Map)}
}

// observe counts the records of a batch. It implements logstream.Observer.
func (c *recordCounters) observe(state *statemachine.State, results []statemachine.Result) {
	for _, result := range results {
		if name := counterName(state, result); name != "" {
			c.vars.Add(name, 1)
		}
	}
}

// counterName returns the name of the counter of a record, or "" for none. The
// state is that after the record's batch.
func counterName(state *statemachine.State, result statemachine.Result) string {
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
		return finishedJobState(state, command.ID)
	case *statemachine.JobCancel:
		return finishedJobState(state, command.ID)
	default:
		return ""
	}
}

// finishedJobState returns the state of a finished job, or "" for another.
func finishedJobState(state *statemachine.State, id string) string {
	found, ok := state.Jobs.Get(id)
	if !ok || !found.State.Finished() {
		return ""
	}
	return string(found.State)
}

// publishOrderMetrics publishes the counters of the orders.
func publishOrderMetrics(m *metrics, shards orderShards, orders *dispatch.OrderResolver) {
	m.vars.Set("orders", shards.counters.vars)
	m.gauge("orders_open", func() any {
		return sumOverStreams(shards.get(), func(s *statemachine.State) int { return s.UnsettledOrders.Len() })
	})
	m.gauge("orders_settling", func() any { return orders.PendingSettlements() })
	m.gauge("orders_age_ms", func() any { return maxStalenessMS(shards.get()) })
}

// publishJobMetrics publishes the counters of the jobs.
func publishJobMetrics(m *metrics, shards jobShards, runner *job.Runner) {
	m.vars.Set("jobs", shards.counters.vars)
	m.gauge("jobs_open", func() any {
		return sumOverStreams(shards.get(), func(s *statemachine.State) int { return s.UnfinishedJobs.Len() })
	})
	m.gauge("jobs_here", func() any { return runner.ActiveJobs() })
	m.gauge("jobs_age_ms", func() any { return maxStalenessMS(shards.get()) })
}

// sumOverStreams sums a count over the streams.
func sumOverStreams(shards *logstream.Shards, count func(*statemachine.State) int) int {
	if shards == nil {
		return 0
	}
	sum := 0
	for _, stream := range shards.Streams() {
		sum += count(stream.State())
	}
	return sum
}

// maxStalenessMS returns the highest staleness of the streams in milliseconds, or
// -1 if one was never read to its end.
func maxStalenessMS(shards *logstream.Shards) int64 {
	if shards == nil {
		return -1
	}
	oldest := time.Duration(0)
	for _, stream := range shards.Streams() {
		oldest = max(oldest, stream.Staleness())
	}
	return stalenessMS(oldest)
}
