package scheduler

import (
	"sort"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// maxWorkersPerAdvice bounds the workers of one request: each adds to the service time.
const maxWorkersPerAdvice = 30

// adviceRetryDelay is the delay before a failed request is retried.
const adviceRetryDelay = 300 * time.Millisecond

// requestAdvice requests placement tickets for a step that has none or too few.
func (s *Scheduler) requestAdvice(st *step, workers []*worker, now time.Time) {
	t := &st.tickets
	if t.valid(now) && len(t.byWorker) > 0 && st.hasEnoughTickets() || now.Before(t.nextRequestAt) {
		return
	}
	if !t.valid(now) {
		t.requestedWorkers, t.byWorker = map[string]bool{}, map[string]string{}
	}
	var candidates []*worker
	for _, w := range workers {
		if !t.requestedWorkers[w.info.ID] && w.free().Fits(st.def.Need) && (st.def.Label == "" || w.info.HasLabel(st.def.Label)) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	sort.Slice(candidates, func(i, k int) bool {
		return candidates[i].free().MilliCPU > candidates[k].free().MilliCPU
	})
	request := AdviceRequest{Step: st.name()}
	for _, w := range candidates[:min(maxWorkersPerAdvice, len(candidates))] {
		request.Workers = append(request.Workers, w.info.ID)
		t.requestedWorkers[w.info.ID] = true
	}
	// A request without a response is retried after the longest response time.
	const adviceTimeout = 3 * time.Second
	t.nextRequestAt = now.Add(adviceTimeout)
	s.batch.AdviceRequests = append(s.batch.AdviceRequests, request)
}

// hasEnoughTickets reports whether at most a few tasks wait per granted worker.
func (s *step) hasEnoughTickets() bool {
	const tasksPerTicket = 4
	return s.waiting <= tasksPerTicket*len(s.tickets.byWorker)
}

// HandleAdvice applies the advice service's response.
func (s *Scheduler) HandleAdvice(request AdviceRequest, granted []fleet.Ticket, validFor time.Duration, err error, now time.Time) {
	for _, j := range s.jobs {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if len(st.tasks) > 0 && st.name() == request.Step {
					st.applyAdvice(request, granted, validFor, err, now)
					return
				}
			}
		}
	}
}

func (s *step) applyAdvice(request AdviceRequest, granted []fleet.Ticket, validFor time.Duration, err error, now time.Time) {
	t := &s.tickets
	t.nextRequestAt = time.Time{}
	if err != nil {
		t.nextRequestAt = now.Add(adviceRetryDelay)
		for _, id := range request.Workers {
			delete(t.requestedWorkers, id)
		}
		return
	}
	if !t.valid(now) {
		t.byWorker = map[string]string{}
	}
	// Half a second is left for the start request to reach the worker.
	const startDeliveryTime = 500 * time.Millisecond
	until := now.Add(validFor - startDeliveryTime)
	if t.until.IsZero() || !t.valid(now) || until.Before(t.until) {
		t.until = until
	}
	for _, g := range granted {
		t.byWorker[g.WorkerID] = g.Text
	}
}
