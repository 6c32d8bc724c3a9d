package fleetentry

import (
	"context"
	"time"

	"github.com/anvilcourse/anvilcourse/provider"
	"github.com/anvilcourse/anvilcourse/scheduler"
)

const (
	// askTimeout bounds a question to the advice service.
	askTimeout = 3 * time.Second
)

// start sends one start and takes the answer in.
func (o *Leader) start(s scheduler.StartRequest) {
	err := o.trySend(s)
	if err != nil {
		o.log.Info("start failed", "request", s.Request.Task.String(), "worker", s.Endpoint.WorkerID, "attempt", s.Request.Attempt, "error", err)
	}
	o.metrics.Add("starts", 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.sched.HandleStartResponse(&s.Request, s.Endpoint.WorkerID, err, now)
	if l, known := o.looks[s.Endpoint.WorkerID]; known {
		l.busy()
	}
	o.flush(now)
	if err != nil {
		o.nudge()
	}
}

// trySend sends the start, and again if there is no answer. A refusal of a later
// try says nothing of the earlier ones, which may still be carried out.
func (o *Leader) trySend(s scheduler.StartRequest) error {
	var unknown error
	for i, timeout := range o.timeouts() {
		now := time.Now()
		if !o.journal.LeaderLeaseValid(now) {
			if unknown != nil {
				return unknown
			}
			return &provider.Error{Op: "worker.start", Outcome: provider.Refused, Code: provider.CodeLeaseLapsed, Message: "the owner cannot prove that it still is"}
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		_, err := o.workers.Start(ctx, s.Endpoint, s.Request)
		cancel()
		o.answered(i, time.Since(now), err)
		o.metrics.Observe("start", time.Since(now))
		if err == nil || decisive(err) {
			return err
		}
		if provider.OutcomeOf(err) != provider.Unknown {
			if unknown != nil {
				return unknown
			}
			return err
		}
		unknown = err
	}
	return unknown
}

// timeouts returns those of the tries of the next order.
func (o *Leader) timeouts() []time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.callPace.orders(time.Now())
}

// answered takes in the end of a try of an order: one that is answered promptly after
// a silent one shows that calls are lost.
func (o *Leader) answered(try int, took time.Duration, err error) {
	if try == 0 || err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.callPace.answeredAgain(time.Now(), took)
}

// decisive reports whether a refusal also settles what became of earlier tries.
func decisive(err error) bool {
	switch provider.CodeOf(err) {
	case provider.CodeFenced, provider.CodeOtherLife, provider.CodeSuperseded:
		return true
	}
	return false
}

// stop sends one stop and takes the answer in.
func (o *Leader) stop(s scheduler.StopRequest) {
	if s.Endpoint.Address == "" {
		return
	}
	var err error
	for _, timeout := range o.timeouts() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		_, err = o.workers.Stop(ctx, s.Endpoint, s.Task, s.Attempt, o.token)
		cancel()
		if err == nil || provider.OutcomeOf(err) != provider.Unknown {
			break
		}
	}
	if err != nil {
		o.log.Info("stop failed", "request", s.Task.String(), "worker", s.Endpoint.WorkerID, "attempt", s.Attempt, "error", err)
	}
	o.metrics.Add("stops", 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.sched.HandleStopResponse(&s, err, now)
	o.flush(now)
}

// pace sends one order to let a run work at a share of its speed.
func (o *Leader) pace(p scheduler.ThrottleRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeouts[len(orderTimeouts)-1])
	defer cancel()
	if _, err := o.workers.Throttle(ctx, p.Endpoint, p.Task, p.Attempt, p.Percent, o.token); err != nil {
		o.log.Info("pace failed", "request", p.Task.String(), "worker", p.Endpoint.WorkerID, "percent", p.Percent, "error", err)
	}
	o.metrics.Add("paces", 1)
}

// ask asks the advice service about a step.
func (o *Leader) ask(q scheduler.AdviceRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	tickets, valid, err := o.advice.Request(ctx, q.Step, q.Workers)
	if err != nil {
		o.log.Info("advice failed", "request", q.Step, "error", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.sched.HandleAdvice(q, tickets, valid, err, now)
	o.flush(now)
	o.nudge()
}
