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

// lookInterval is the time between two looks of a Recorder.
const lookInterval = 100 * time.Millisecond

// Recorder records a run while it goes on: the streams of its log and, between
// their payloads, what the VMs' records prove of open orders and jobs and what
// is to be done for the waves. The VMs are only asked, nothing is changed.
type Recorder struct {
	Log     provider.Log
	VMs     provider.VMs
	Workers provider.Workers
	Streams []string

	player *Player
	next   map[string]uint64
	// opened is when an open order, job or step was first seen, and answered
	// when its VM last answered, by subject.
	opened, answered map[string]time.Time
	// seen holds what was seen of the VMs under maintenance.
	seen map[string]*seenStep
	// latest is the latest outcome of each subject. Only changes are recorded.
	latest map[string][]string
	out    []Step
}

// Record records until the context ends. It fails if the log cannot be read
// from its beginning.
func (r *Recorder) Record(ctx context.Context, header Header) (Trace, error) {
	r.player, r.next = NewPlayer(), make(map[string]uint64)
	r.opened, r.answered = make(map[string]time.Time), make(map[string]time.Time)
	r.seen, r.latest = make(map[string]*seenStep), make(map[string][]string)
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		if err := r.look(ctx); err != nil && ctx.Err() == nil {
			return Trace{}, err
		}
		select {
		case <-ctx.Done():
			return Trace{Header: header, Steps: r.out}, nil
		case <-ticker.C:
		}
	}
}

// look reads what is new in the streams and then asks the VMs.
func (r *Recorder) look(ctx context.Context) error {
	for _, stream := range r.Streams {
		if err := r.read(ctx, stream); err != nil {
			return errors.Wrapf(err, "stream %s", stream)
		}
	}
	for _, stream := range r.Streams {
		r.lookAtOrders(ctx, stream)
		r.lookAtJobs(ctx, stream)
	}
	r.lookAtWaves(ctx)
	return nil
}

func (r *Recorder) read(ctx context.Context, stream string) error {
	for {
		page, err := r.Log.Read(ctx, stream, r.next[stream], pageLimit, 0)
		if provider.CodeOf(err) == provider.CodeTrimmed {
			return err
		}
		if err != nil || len(page.Payloads) == 0 {
			return nil
		}
		for i, payload := range page.Payloads {
			r.out = append(r.out, recordStep(r.player, stream, page.From+uint64(i), payload))
		}
		r.next[stream] = page.From + uint64(len(page.Payloads))
	}
}

// add records the step if its outcome is not that of the subject's latest one.
func (r *Recorder) add(subject string, step Step, state func([]string)) {
	_, got := r.player.Step(step)
	if slices.Equal(got, r.latest[subject]) {
		return
	}
	state(got)
	r.latest[subject] = got
	r.out = append(r.out, step)
}

// since returns the time for which the subject was known.
func since(first map[string]time.Time, subject string, now time.Time) int64 {
	if _, ok := first[subject]; !ok {
		first[subject] = now
	}
	return now.Sub(first[subject]).Milliseconds()
}

func (r *Recorder) lookAtOrders(ctx context.Context, stream string) {
	state := r.player.State(stream)
	for id := range state.UnsettledOrders.All() {
		order, ok := state.Orders.Get(id)
		if !ok {
			continue
		}
		asked := time.Now()
		list, err := r.Workers.ListTasks(ctx, order.Address)
		if err != nil {
			continue
		}
		subject := subjectOf(stream, id, order.Attempt)
		step := &OrderResolution{Stream: stream, Order: id, List: only(list, id), InDoubtForMS: since(r.opened, subject, asked)}
		r.add(subject, Step{Order: step}, func(got []string) { step.Outcome = got[0] })
	}
}

func (r *Recorder) lookAtJobs(ctx context.Context, stream string) {
	state := r.player.State(stream)
	for id := range state.UnfinishedJobs.All() {
		job, ok := state.Jobs.Get(id)
		if !ok || job.State != statemachine.JobRunning {
			continue
		}
		asked := time.Now()
		list, err := r.Workers.ListTasks(ctx, job.Slot.Address)
		subject := subjectOf(stream, id, job.Attempt)
		if err == nil {
			r.answered[subject] = asked
		}
		step := &JobResolution{
			Stream: stream, Job: id, List: only(list, id), Unreachable: err != nil,
			InDoubtForMS: since(r.opened, subject, asked), UnreachableForMS: since(r.answered, subject, asked),
		}
		r.add(subject, Step{Job: step}, func(got []string) { step.Outcome = got[0] })
	}
}

func subjectOf(stream, id string, attempt int) string {
	raw, _ := json.Marshal([]any{stream, id, attempt})
	return string(raw)
}

// only keeps the lines of one task.
func only(list provider.TaskList, id string) provider.TaskList {
	list.MaxRunning = nil
	list.Tasks = slices.DeleteFunc(slices.Clone(list.Tasks), func(t provider.TaskStatus) bool { return t.ID != id })
	return list
}
