package dispatch

import (
	"context"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// awaitOutcome waits for the current claim's outcome until the request times
// out. It reports true if the claim was released.
func (s *submission) awaitOutcome(ctx context.Context) (Outcome, bool) {
	s.d.cfg.Orders.waiting.Store(s, s.orderID)
	defer s.d.cfg.Orders.waiting.Delete(s)
	for {
		changed := s.stream.Changed()
		current, ok := s.current()
		if !ok {
			return Outcome{Kind: Unknown, Code: CodeReplyLost, Message: "the order's claim is older than the retention window"}, false
		}
		if current.BodyHash != s.bodyHash {
			return notRun(CodeKeyReused, "the Idempotency-Key was used for an order with another queue or body", 0), false
		}
		switch current.Outcome {
		case statemachine.OrderReleased:
			return notRun(CodeNoCapacity, current.Message, busyRetryAfter), true
		case statemachine.OrderAnswered, statemachine.OrderFailed:
			return s.recordedOutcome(ctx, current), false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return stillRunning(current), false
		}
	}
}

// stillRunning returns the outcome of an order that is still open when the
// request times out.
func stillRunning(current *statemachine.Order) Outcome {
	return Outcome{
		Kind: Unknown, Code: CodeOrderOpen, RetryAfter: busyRetryAfter, VM: current.Target, Attempts: current.Attempt,
		Message: "the order may still be running; retry with the same Idempotency-Key",
	}
}

// recordedOutcome returns the outcome recorded in the log.
func (s *submission) recordedOutcome(ctx context.Context, current *statemachine.Order) Outcome {
	out := Outcome{Kind: Answered, VM: current.Target, Attempts: current.Attempt, Answer: current.Answer}
	if current.Outcome == statemachine.OrderFailed {
		out.Kind, out.Code, out.Message = Failed, CodeTaskFailed, current.Message
		return out
	}
	if len(current.Answer) == current.AnswerBytes {
		return out
	}
	return s.fetchAnswer(ctx, current)
}

// fetchAnswer reads an answer that was too large for the log from the VM.
func (s *submission) fetchAnswer(ctx context.Context, current *statemachine.Order) Outcome {
	out := Outcome{Kind: Unknown, Code: CodeAnswerNotRetained, VM: current.Target, Attempts: current.Attempt,
		Message: "the order ran and answered; the answer was too large to retain and its VM no longer has it"}
	list, err := s.d.cfg.Workers.ListTasks(ctx, current.Address)
	if err != nil {
		return out
	}
	task, ok := findTask(list, current.Claim, current.Attempt)
	if !ok || task.State != provider.TaskSucceeded || len(task.Answer) != current.AnswerBytes {
		return out
	}
	return Outcome{Kind: Answered, VM: current.Target, Attempts: current.Attempt, Answer: task.Answer}
}

// findTask returns the VM's status of the claim's task.
func findTask(list provider.TaskList, claim statemachine.Claim, number int) (provider.TaskStatus, bool) {
	id := statemachine.OrderID(claim.Team, claim.Key)
	for _, task := range list.Tasks {
		if task.ID == id && task.Attempt == number {
			return task, true
		}
	}
	return provider.TaskStatus{}, false
}
