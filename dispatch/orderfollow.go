package dispatch

import (
	"context"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// follow waits for the outcome of the claim that stands, within the caller's
// patience. It reports true if the claim was released.
func (s *submission) follow(ctx context.Context) (Outcome, bool) {
	s.d.cfg.Orders.waiting.Store(s, s.order)
	defer s.d.cfg.Orders.waiting.Delete(s)
	for {
		changed := s.stream.Changed()
		current, ok := s.current()
		if !ok {
			return Outcome{Kind: Unknown, Code: CodeReplyLost, Message: "the order's claim is older than the window"}, false
		}
		if current.BodyHash != s.hash {
			return notRun(CodeKeyReused, "the Idempotency-Key names an order with another queue or body", 0), false
		}
		switch current.Outcome {
		case statemachine.OrderReleased:
			return notRun(CodeNoCapacity, current.Message, busyRetryAfter), true
		case statemachine.OrderAnswered, statemachine.OrderFailed:
			return s.recorded(ctx, current), false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return running(current), false
		}
	}
}

// running is the outcome of an order that is still open at the end of the
// caller's patience.
func running(current *statemachine.Order) Outcome {
	return Outcome{
		Kind: Unknown, Code: CodeOrderOpen, RetryAfter: busyRetryAfter, VM: current.Target, Attempts: current.Attempt,
		Message: "the order may still run; ask again with the same Idempotency-Key",
	}
}

// recorded returns the outcome that the claim keeps.
func (s *submission) recorded(ctx context.Context, current *statemachine.Order) Outcome {
	out := Outcome{Kind: Answered, VM: current.Target, Attempts: current.Attempt, Answer: current.Answer}
	if current.Outcome == statemachine.OrderFailed {
		out.Kind, out.Code, out.Message = Failed, CodeTaskFailed, current.Message
		return out
	}
	if len(current.Answer) == current.AnswerBytes {
		return out
	}
	return s.fetch(ctx, current)
}

// fetch reads an answer that was too large to keep from the VM's own record.
func (s *submission) fetch(ctx context.Context, current *statemachine.Order) Outcome {
	out := Outcome{Kind: Unknown, Code: CodeAnswerNotRetained, VM: current.Target, Attempts: current.Attempt,
		Message: "the order ran and answered; its answer was too large to keep and its VM no longer has it"}
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

// findTask returns the VM's line for the claim's task.
func findTask(list provider.TaskList, claim statemachine.Claim, number int) (provider.TaskStatus, bool) {
	id := statemachine.OrderID(claim.Team, claim.Key)
	for _, task := range list.Tasks {
		if task.ID == id && task.Attempt == number {
			return task, true
		}
	}
	return provider.TaskStatus{}, false
}
