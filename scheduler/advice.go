package scheduler

import (
	"sort"
	"time"

	"github.com/anvilcourse/anvilcourse/fleet"
)

// maxAsked is how many workers one question names: each costs the service time.
const maxAsked = 30

// askAgain is the pause before a question that failed is asked again.
const askAgain = 300 * time.Millisecond

// askAdvice asks which workers may run the steps that need tickets and have none.
func (s *Scheduler) askAdvice(st *step, workers []*worker, now time.Time) {
	t := &st.ticks
	if t.valid(now) && len(t.byWorker) > 0 && st.ticketRoom() || now.Before(t.askedAt) {
		return
	}
	if !t.valid(now) {
		t.asked, t.byWorker = map[string]bool{}, map[string]string{}
	}
	var candidates []*worker
	for _, w := range workers {
		if !t.asked[w.info.ID] && w.free().Fits(st.def.Need) && (st.def.Label == "" || w.info.HasLabel(st.def.Label)) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	sort.Slice(candidates, func(i, k int) bool {
		return candidates[i].free().MilliCPU > candidates[k].free().MilliCPU
	})
	q := AdviceRequest{Step: st.name()}
	for _, w := range candidates[:min(maxAsked, len(candidates))] {
		q.Workers = append(q.Workers, w.info.ID)
		t.asked[w.info.ID] = true
	}
	// A question that gets no answer is asked again after the longest wait.
	const answerWithin = 3 * time.Second
	t.askedAt = now.Add(answerWithin)
	s.batch.AdviceRequests = append(s.batch.AdviceRequests, q)
}

// ticketRoom reports whether fewer tasks wait than a few per granted worker.
func (s *step) ticketRoom() bool {
	const tasksPerTicket = 4
	return s.waiting <= tasksPerTicket*len(s.ticks.byWorker)
}

// HandleAdvice takes in the advice service's answer.
func (s *Scheduler) HandleAdvice(q AdviceRequest, granted []fleet.Ticket, valid time.Duration, err error, now time.Time) {
	for _, j := range s.jobs {
		for _, o := range j.live {
			for _, st := range o.steps {
				if len(st.tasks) > 0 && st.name() == q.Step {
					st.advised(q, granted, valid, err, now)
					return
				}
			}
		}
	}
}

func (s *step) advised(q AdviceRequest, granted []fleet.Ticket, valid time.Duration, err error, now time.Time) {
	t := &s.ticks
	t.askedAt = time.Time{}
	if err != nil {
		t.askedAt = now.Add(askAgain)
		for _, id := range q.Workers {
			delete(t.asked, id)
		}
		return
	}
	if !t.valid(now) {
		t.byWorker = map[string]string{}
	}
	// Half a second is left for the start to reach the worker.
	const startTime = 500 * time.Millisecond
	until := now.Add(valid - startTime)
	if t.until.IsZero() || !t.valid(now) || until.Before(t.until) {
		t.until = until
	}
	for _, g := range granted {
		t.byWorker[g.WorkerID] = g.Text
	}
}
