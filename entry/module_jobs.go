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

// jobsStream is the common part of the names of the jobs' streams.
const jobsStream = "jobs"

// jobShards are the streams of the jobs.
type jobShards struct {
	*shardSet
}

// jobsModule provides what accepts long work and carries it out.
var jobsModule = fx.Module("jobs",
	fx.Provide(
		newJobShards,
		newJobPreempter,
		newJobRunner,
		fx.Annotate(newJobTasks, fx.ResultTags(`group:"tasks,flatten"`)),
		fx.Annotate(newJobStopStep, fx.ResultTags(`group:"stop_steps"`)),
		fx.Annotate(newJobRoutes, fx.ResultTags(`group:"caller_routes"`)),
	),
	fx.Invoke(publishJobs),
)

func newJobShards(s settings.Entry, divide newShards, judge *quarantine.Detector) jobShards {
	shards := divide(jobsStream, s.JobStreams)
	shards.observe = judge.Observe
	return jobShards{shards}
}

func newJobRunner(id identity, shards jobShards, d *dispatch.Dispatcher, workers provider.Workers, clock clockwork.Clock, m *membership.Membership, preempter *jobPreempter, judge *quarantine.Detector) *job.Runner {
	runner := job.New(job.Config{
		Incarnation: id.incarnation, Shards: shards.get, Starter: d, Workers: workers, Clock: clock, Classifier: judge,
		Peers: func() []string { return reachableMembers(m) },
	})
	preempter.runner.Store(runner)
	return runner
}

// jobPreempter makes jobs give way to requests. The dispatcher needs it before
// there is a runner, which needs the dispatcher.
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

// reachableMembers returns the entry incarnations that have answered lately.
func reachableMembers(m *membership.Membership) []string {
	var out []string
	for _, member := range m.Reachable() {
		out = append(out, member.Incarnation)
	}
	return out
}

func newJobTasks(shards jobShards, runner *job.Runner) []task {
	return []task{
		{name: "job streams", run: shards.run},
		{name: "jobs", run: runner.Run},
	}
}

func newJobStopStep(runner *job.Runner) stopStep {
	return stopStep{name: "hand over jobs", run: runner.Stop}
}
