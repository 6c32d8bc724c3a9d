package fakeworkers

import (
	"context"

	"github.com/anvilcourse/anvilcourse/provider"
)

const opRun = "worker.run"

// run is one task running on a VM.
type run struct {
	vm     *vm
	status *provider.TaskStatus
	stop   chan struct{}
}

// RunTask implements provider.Workers. A cancelled call does not stop the task.
func (f *Fleet) RunTask(ctx context.Context, address string, task provider.Task) (provider.Answer, error) {
	if err := ctx.Err(); err != nil {
		return provider.Answer{}, timeoutError(err.Error())
	}
	r, err := f.startTask(address, task)
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
		return provider.Answer{}, timeoutError(ctx.Err().Error())
	}
}

func (f *Fleet) startTask(address string, task provider.Task) (*run, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, err := f.lookupVM(opRun, address)
	if err != nil {
		return nil, err
	}
	status, code := v.start(task, f.clock.Now())
	if code != "" {
		return nil, &provider.Error{Op: opRun, Outcome: provider.Refused, Code: code, Message: address}
	}
	f.starts[task.ID]++
	return &run{vm: v, status: status, stop: v.stops[stopKey(task.ID, task.Attempt)]}, nil
}

// finish waits until the task finishes and returns the reply.
func (f *Fleet) finish(r *run, task provider.Task) (provider.Answer, error) {
	remaining, fail := remainingRunTime(task)
	stopped := false
	select {
	case <-f.clock.After(remaining):
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
	r.vm.finish(r.status, task.LeaseID, state, f.clock.Now())
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

// reply returns what the caller of a finished task receives.
func reply(faults Faults, state provider.TaskState, checkpoint string, answer provider.Answer) (provider.Answer, error) {
	switch {
	case faults.DropReplies > 0 || faults.TimesOut:
		return provider.Answer{}, timeoutError("the reply was lost")
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

func timeoutError(message string) error {
	return &provider.Error{Op: opRun, Outcome: provider.Unknown, Code: provider.CodeTimeout, Message: message}
}
