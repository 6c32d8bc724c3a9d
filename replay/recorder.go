package replay

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// pollInterval is the time between two polls of a Recorder.
const pollInterval = 100 * time.Millisecond

// Recorder records a run in progress: the streams of its log and, between their
// payloads, how the VMs' task lists resolve in-doubt orders and jobs, and the
// planned maintenance actions. It only reads from the VMs and changes nothing.
type Recorder struct {
	Log     provider.Log
	VMs     provider.VMs
	Workers provider.Workers
	Streams []string

	player     *Player
	nextOffset map[string]uint64
	// firstSeen is when an unresolved order, job or step was first seen, and
	// lastAnswer when its VM last answered, by subject.
	firstSeen, lastAnswer map[string]time.Time
	// observed holds the observations of the VMs under maintenance.
	observed map[string]*stepObservation
	// lastOutcomes holds the last outcomes by subject. Only changes are recorded.
	lastOutcomes map[string][]string
	steps        []Step
}

// Record records until the context is done. It fails if the log cannot be read
// from its beginning.
func (r *Recorder) Record(ctx context.Context, header Header) (Trace, error) {
	r.player, r.nextOffset = NewPlayer(), make(map[string]uint64)
	r.firstSeen, r.lastAnswer = make(map[string]time.Time), make(map[string]time.Time)
	r.observed, r.lastOutcomes = make(map[string]*stepObservation), make(map[string][]string)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := r.poll(ctx); err != nil && ctx.Err() == nil {
			return Trace{}, err
		}
		select {
		case <-ctx.Done():
			return Trace{Header: header, Steps: r.steps}, nil
		case <-ticker.C:
		}
	}
}

// poll reads the new payloads of the streams and then queries the VMs.
func (r *Recorder) poll(ctx context.Context) error {
	for _, stream := range r.Streams {
		if err := r.readStream(ctx, stream); err != nil {
			return errors.Wrapf(err, "stream %s", stream)
		}
	}
	for _, stream := range r.Streams {
		r.recordOrders(ctx, stream)
		r.recordJobs(ctx, stream)
	}
	r.recordWaves(ctx)
	return nil
}

func (r *Recorder) readStream(ctx context.Context, stream string) error {
	for {
		page, err := r.Log.Read(ctx, stream, r.nextOffset[stream], pageLimit, 0)
		if provider.CodeOf(err) == provider.CodeTrimmed {
			return err
		}
		if err != nil || len(page.Payloads) == 0 {
			return nil
		}
		for i, payload := range page.Payloads {
			r.steps = append(r.steps, recordStep(r.player, stream, page.From+uint64(i), payload))
		}
		r.nextOffset[stream] = page.From + uint64(len(page.Payloads))
	}
}

// addIfChanged records the step if its outcomes differ from the subject's last.
func (r *Recorder) addIfChanged(subject string, step Step, setOutcomes func([]string)) {
	_, got := r.player.Step(step)
	if slices.Equal(got, r.lastOutcomes[subject]) {
		return
	}
	setOutcomes(got)
	r.lastOutcomes[subject] = got
	r.steps = append(r.steps, step)
}

// millisSinceFirst returns the milliseconds since the subject was first seen.
func millisSinceFirst(first map[string]time.Time, subject string, now time.Time) int64 {
	if _, ok := first[subject]; !ok {
		first[subject] = now
	}
	return now.Sub(first[subject]).Milliseconds()
}

func (r *Recorder) recordOrders(ctx context.Context, stream string) {
	state := r.player.State(stream)
	for id := range state.UnsettledOrders.All() {
		order, ok := state.Orders.Get(id)
		if !ok {
			continue
		}
		queriedAt := time.Now()
		list, err := r.Workers.ListTasks(ctx, order.Address)
		if err != nil {
			continue
		}
		subject := subjectKey(stream, id, order.Attempt)
		step := &OrderResolution{Stream: stream, Order: id, List: filterTask(list, id), InDoubtForMS: millisSinceFirst(r.firstSeen, subject, queriedAt)}
		r.addIfChanged(subject, Step{Order: step}, func(got []string) { step.Outcome = got[0] })
	}
}

func (r *Recorder) recordJobs(ctx context.Context, stream string) {
	state := r.player.State(stream)
	for id := range state.UnfinishedJobs.All() {
		job, ok := state.Jobs.Get(id)
		if !ok || job.State != statemachine.JobRunning {
			continue
		}
		queriedAt := time.Now()
		list, err := r.Workers.ListTasks(ctx, job.Slot.Address)
		subject := subjectKey(stream, id, job.Attempt)
		if err == nil {
			r.lastAnswer[subject] = queriedAt
		}
		step := &JobResolution{
			Stream: stream, Job: id, List: filterTask(list, id), Unreachable: err != nil,
			InDoubtForMS: millisSinceFirst(r.firstSeen, subject, queriedAt), UnreachableForMS: millisSinceFirst(r.lastAnswer, subject, queriedAt),
		}
		r.addIfChanged(subject, Step{Job: step}, func(got []string) { step.Outcome = got[0] })
	}
}

func subjectKey(stream, id string, attempt int) string {
	raw, _ := json.Marshal([]any{stream, id, attempt})
	return string(raw)
}

// filterTask returns the list reduced to the lines of one task.
func filterTask(list provider.TaskList, id string) provider.TaskList {
	list.MaxRunning = nil
	list.Tasks = slices.DeleteFunc(slices.Clone(list.Tasks), func(t provider.TaskStatus) bool { return t.ID != id })
	return list
}
