package entry

import (
	"context"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/job"
	"github.com/anvilcourse/anvilcourse/membership"
	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/quarantine"
	"github.com/anvilcourse/anvilcourse/settings"
)

// jobsStream is the name prefix of the job streams.
const jobsStream = "jobs"

// jobShards are the job streams.
type jobShards struct {
	*shardSet
}

// jobsModule provides the components that accept and execute jobs.
var jobsModule = fx.Module("jobs",
	fx.Provide(
		newJobShards,
		newJobPreempter,
		newJobRunner,
		fx.Annotate(newJobTasks, fx.ResultTags(`group:"tasks,flatten"`)),
		fx.Annotate(newJobStopStep, fx.ResultTags(`group:"stop_steps"`)),
		fx.Annotate(newJobRoutes, fx.ResultTags(`group:"caller_routes"`)),
	),
	fx.Invoke(publishJobMetrics),
)

func newJobShards(s settings.Entry, newShardSet shardSetFactory, detector *quarantine.Detector) jobShards {
	shards := newShardSet(jobsStream, s.JobStreams)
	shards.observe = detector.Observe
	return jobShards{shards}
}

func newJobRunner(id identity, shards jobShards, d *dispatch.Dispatcher, workers provider.Workers, clock clockwork.Clock, m *membership.Membership, preempter *jobPreempter, detector *quarantine.Detector) *job.Runner {
	runner := job.New(job.Config{
		Incarnation: id.incarnation, Shards: shards.get, Starter: d, Workers: workers, Clock: clock, Classifier: detector,
		Peers: func() []string { return reachableMembers(m) },
	})
	preempter.runner.Store(runner)
	return runner
}

// jobPreempter lets requests preempt jobs. The dispatcher needs it before there
// is a runner, which needs the dispatcher.
type jobPreempter struct {
	runner atomic.Pointer[job.Runner]
}

func newJobPreempter() *jobPreempter {
	return &jobPreempter{}
}

// Preempt implements admission.Preempter.
func (p *jobPreempter) Preempt(ctx context.Context, pools []string, slots int) int {
	runner := p.runner.Load()
	if runner == nil {
		return 0
	}
	return runner.Preempt(ctx, pools, slots)
}

// reachableMembers returns the reachable entry incarnations.
func reachableMembers(m *membership.Membership) []string {
	var out []string
	for _, member := range m.Reachable() {
		out = append(out, member.Incarnation)
	}
	return out
}

func newJobTasks(shards jobShards, runner *job.Runner) []backgroundTask {
	return []backgroundTask{
		{name: "job streams", run: shards.run},
		{name: "jobs", run: runner.Run},
	}
}

func newJobStopStep(runner *job.Runner) stopStep {
	return stopStep{name: "transfer jobs", run: runner.Stop}
}
