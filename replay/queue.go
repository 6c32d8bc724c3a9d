package replay

import (
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
)

// QueueEvent is one event of an entry's admission queue. Exactly one of Teams,
// RunTimes, Running, Enqueue and SlotFreed is set.
type QueueEvent struct {
	// AtMS is the time of the event in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Teams changes the teams' entitlements.
	Teams *QueueTeams `json:"teams,omitempty"`
	// RunTimes adds observed run times of requests.
	RunTimes *QueueRunTimes `json:"ran,omitempty"`
	// Running sets the number of tasks running through this entry, by team.
	Running map[string]int `json:"running,omitempty"`
	// Enqueue is a request that arrives while no slot is free.
	Enqueue *QueueRequest `json:"enter,omitempty"`
	// SlotFreed reports that a slot became free.
	SlotFreed bool `json:"free,omitempty"`
	// Outcomes holds, for Enqueue, Queued or the reason of the rejection; for
	// SlotFreed, the requests rejected meanwhile and the one that got the slot.
	Outcomes []string `json:"outcomes"`
}

const (
	// Queued is the outcome of a request that is accepted into the queue.
	Queued = "waits"
	// NoWaiter is the outcome of a free slot that no request waits for.
	NoWaiter = "nobody"
)

// QueueTeams is the capacity in slots and the teams that share it.
type QueueTeams struct {
	Capacity float64     `json:"capacity"`
	Teams    []QueueTeam `json:"teams"`
}

// QueueTeam is one team's entitlement and load.
type QueueTeam struct {
	Team string `json:"team"`
	// Weight is the team's share, Limit its upper limit in slots.
	Weight float64 `json:"weight"`
	Limit  float64 `json:"limit"`
	// LocalLoad and RemoteLoad count its requests at this and at other entries.
	LocalLoad  float64 `json:"here"`
	RemoteLoad float64 `json:"elsewhere"`
}

// QueueRunTimes is a number of requests with the same run time.
type QueueRunTimes struct {
	Queue     string `json:"queue"`
	Count     int    `json:"count"`
	RunTimeMS int64  `json:"took_ms"`
}

// QueueRequest is a request that arrives at the admission queue.
type QueueRequest struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Queue   string `json:"queue"`
	// TimeoutMS is the caller's timeout in milliseconds.
	TimeoutMS int64 `json:"patience_ms"`
}

// replayedQueue is an admission queue with its waiting requests in arrival order.
type replayedQueue struct {
	queue   *admission.WaitQueue
	running map[string]int
	waiting []queuedRequest
}

type queuedRequest struct {
	request string
	waiter  *admission.Waiter
}

func newReplayedQueue() *replayedQueue {
	q := &replayedQueue{running: make(map[string]int)}
	q.queue = admission.NewWaitQueue(admission.Config{
		MaxWaitingPerTeam: admission.DefaultMaxWaitingPerTeam, MaxWait: admission.DefaultMaxWait, RunTimeQuantile: admission.DefaultRunTimeQuantile,
		Running: func(team string) int { return q.running[team] },
	})
	return q
}

func (p *Player) queueEvent(e QueueEvent) []string {
	if p.queue == nil {
		p.queue = newReplayedQueue()
	}
	now := timeOf(e.AtMS)
	switch {
	case e.Teams != nil:
		p.queue.queue.SetEntryShare(e.Teams.entryShare())
	case e.RunTimes != nil:
		for range e.RunTimes.Count {
			p.queue.queue.RunTimes(now, e.RunTimes.Queue).Observe(now, milliseconds(e.RunTimes.RunTimeMS))
		}
	case e.Running != nil:
		p.queue.running = e.Running
	case e.Enqueue != nil:
		return []string{p.queue.enqueue(now, *e.Enqueue)}
	case e.SlotFreed:
		return p.queue.assignSlot(now)
	}
	return nil
}

// entryShare computes the entry's share as an entry does from heartbeats.
func (t QueueTeams) entryShare() admission.EntryShare {
	var entitled []admission.Entitlement
	var here, elsewhere []admission.Load
	for _, team := range t.Teams {
		entitled = append(entitled, admission.Entitlement{Team: team.Team, Weight: team.Weight, Limit: team.Limit})
		here = append(here, admission.Load{Team: team.Team, Waiting: team.LocalLoad})
		elsewhere = append(elsewhere, admission.Load{Team: team.Team, Waiting: team.RemoteLoad})
	}
	return admission.ComputeEntryShare(t.Capacity, entitled, here, [][]admission.Load{elsewhere})
}

func (q *replayedQueue) enqueue(now time.Time, r QueueRequest) string {
	waiter, refusal := q.queue.Enqueue(now, admission.Request{
		Team: r.Team, Queue: r.Queue, Deadline: now.Add(milliseconds(r.TimeoutMS)),
	})
	if refusal != nil {
		return string(refusal.Reason)
	}
	q.waiting = append(q.waiting, queuedRequest{request: r.Request, waiter: waiter})
	return Queued
}

// assignSlot assigns the slot and returns the requests rejected meanwhile and
// the one that got it.
func (q *replayedQueue) assignSlot(now time.Time) []string {
	next := q.queue.Next(now, func(*admission.Waiter) bool { return true })
	var out []string
	got := NoWaiter
	q.waiting = slices.DeleteFunc(q.waiting, func(w queuedRequest) bool {
		if w.waiter == next {
			got = "slot " + w.request
			q.running[w.waiter.Team]++
			return true
		}
		select {
		case decision := <-w.waiter.Ready:
			out = append(out, string(decision.Refusal.Reason)+" "+w.request)
			return true
		default:
			return false
		}
	})
	return append(out, got)
}
