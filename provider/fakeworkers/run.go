package fakeworkers

import (
	"context"

	"github.com/anvilcourse/anvilcourse/provider"
)

const opRun = "worker.run"

// run is one task on its way through a VM.
type run struct {
	vm     *vm
	status *provider.TaskStatus
	stop   chan struct{}
}

// RunTask implements provider.Workers. A caller that has gone does not stop
// the task.
func (f *Fleet) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	if err := ctx.Err(); err != nil {
		return provider.Answer{}, lost(err.Error())
	}
	r, err := f.begin(address, task)
	if err != nil {
		return provider.Answer{}, err
	}
	type reply struct {
		answer provider.Answer
		err    error
	}
	done := make(chan reply, 1)
	go func() {
		answer, err := f.finish(r, task)
		done <- reply{answer: answer, err: err}
	}()
	select {
	case got := <-done:
		return got.answer, got.err
	case <-ctx.Done():
		return provider.Answer{}, lost(ctx.Err().Error())
	}
}

func (f *Fleet) begin(address string, task provider.Task) (*run, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, err := f.reach(opRun, address)
	if err != nil {
		return nil, err
	}
	status, code := v.begin(task, f.clock.Now())
	if code != "" {
		return nil, &provider.Error{Op: opRun, Outcome: provider.Refused, Code: code, Message: address}
	}
	f.starts[task.ID]++
	return &run{vm: v, status: status, stop: v.stops[stopKey(task.ID, task.Attempt)]}, nil
}

// finish waits for the end of the task and makes the reply.
func (f *Fleet) finish(r *run, task provider.Task) (provider.Answer, error) {
	left, fail := duration(task)
	stopped := false
	select {
	case <-f.clock.After(left):
	case <-r.stop:
		stopped = true
	}
	f.mu.Lock()
	faults := r.vm.faults
	state := provider.TaskSucceeded
	switch {
	case stopped || faults.StopTasks:
		state = provider.TaskStopped
	case fail || faults.FailTasks:
		state = provider.TaskFailed
	default:
		r.status.Answer = ExpectedAnswer(task.ID, task.Body)
	}
	r.vm.end(r.status, task.LeaseID, state, f.clock.Now())
	if faults.DropReplies > 0 {
		r.vm.faults.DropReplies--
	}
	checkpoint := r.status.Checkpoint
	free := r.vm.free(f.clock.Now())
	f.mu.Unlock()
	if faults.ReplyDelay > 0 {
		<-f.clock.After(faults.ReplyDelay)
	}
	return reply(faults, state, checkpoint, provider.Answer{Body: ExpectedAnswer(task.ID, task.Body), FreeSlots: free})
}

// reply is what reaches the caller of an ended task.
func reply(faults Faults, state provider.TaskState, checkpoint string, answer provider.Answer) (provider.Answer, error) {
	switch {
	case faults.DropReplies > 0 || faults.TimesOut:
		return provider.Answer{}, lost("the reply was lost")
	case faults.MismatchReplies:
		return provider.Answer{}, &provider.Error{Op: opRun, Outcome: provider.Unknown, Code: provider.CodeMismatch, Message: "crossed"}
	case faults.TruncateReplies:
		return provider.Answer{}, &provider.Error{Op: opRun, Outcome: provider.Unknown, Code: provider.CodeTruncated, Message: "cut"}
	case state == provider.TaskStopped:
		return provider.Answer{}, &provider.Error{Op: opRun, Outcome: provider.Failed, Code: provider.CodeTaskStopped, Message: checkpoint}
	case state == provider.TaskFailed:
		return provider.Answer{}, &provider.Error{Op: opRun, Outcome: provider.Failed, Code: provider.CodeTaskFailed, Message: "the task failed"}
	}
	return answer, nil
}

func lost(message string) error {
	return &provider.Error{Op: opRun, Outcome: provider.Unknown, Code: provider.CodeTimeout, Message: message}
}
