package replay

import (
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
)

// QueueEvent is one event at the line in which an entry's requests wait for
// slots. Exactly one of Teams, Ran, Running, Enter and Free is set.
type QueueEvent struct {
	// AtMS is the time of the event in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Teams changes what the teams are owed.
	Teams *QueueTeams `json:"teams,omitempty"`
	// RunTimes tells of requests that ran.
	RunTimes *QueueRunTimes `json:"ran,omitempty"`
	// Running changes the number of tasks that run here, by team.
	Running map[string]int `json:"running,omitempty"`
	// Enqueue is a request that finds no free slot.
	Enqueue *QueueRequest `json:"enter,omitempty"`
	// SlotFreed tells that a slot came free.
	SlotFreed bool `json:"free,omitempty"`
	// Outcomes tells, for Enter, Waits or why the request is refused; for Free,
	// which requests were refused on the way and which got the slot.
	Outcomes []string `json:"outcomes"`
}

const (
	// Queued is the outcome of a request that may wait.
	Queued = "waits"
	// NoWaiter is the outcome of a free slot that no request waits for.
	NoWaiter = "nobody"
)

// QueueTeams is a capacity in slots and the teams that share it.
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
	// LocalLoad and Elsewhere are the numbers of its requests that wait or run.
	LocalLoad  float64 `json:"here"`
	RemoteLoad float64 `json:"elsewhere"`
}

// QueueRunTimes is a number of requests that ran for the same time.
type QueueRunTimes struct {
	Queue     string `json:"queue"`
	Count     int    `json:"count"`
	RunTimeMS int64  `json:"took_ms"`
}

// QueueRequest is a request at the line.
type QueueRequest struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Queue   string `json:"queue"`
	// TimeoutMS is how long its caller waits, in milliseconds.
	TimeoutMS int64 `json:"patience_ms"`
}

// playedLine is a line and those who wait in it, in the order of their coming.
type playedLine struct {
	line    *admission.WaitQueue
	running map[string]int
	waiting []waiting
}

type waiting struct {
	request string
	waiter  *admission.Waiter
}

func newPlayedLine() *playedLine {
	l := &playedLine{running: make(map[string]int)}
	l.line = admission.NewWaitQueue(admission.Config{
		MaxWaitingPerTeam: admission.DefaultMaxWaitingPerTeam, MaxWait: admission.DefaultMaxWait, RunTimeQuantile: admission.DefaultRunTimeQuantile,
		Running: func(team string) int { return l.running[team] },
	})
	return l
}

func (p *Player) lineEvent(e QueueEvent) []string {
	if p.line == nil {
		p.line = newPlayedLine()
	}
	now := timeOf(e.AtMS)
	switch {
	case e.Teams != nil:
		p.line.line.SetEntryShare(e.Teams.parts())
	case e.RunTimes != nil:
		for range e.RunTimes.Count {
			p.line.line.RunTimes(now, e.RunTimes.Queue).Observe(now, milliseconds(e.RunTimes.RunTimeMS))
		}
	case e.Running != nil:
		p.line.running = e.Running
	case e.Enqueue != nil:
		return []string{p.line.enter(now, *e.Enqueue)}
	case e.SlotFreed:
		return p.line.free(now)
	}
	return nil
}

// parts computes what the entry may use, as it does from the heartbeats.
func (t QueueTeams) parts() admission.EntryShare {
	var entitled []admission.Entitlement
	var here, elsewhere []admission.Load
	for _, team := range t.Teams {
		entitled = append(entitled, admission.Entitlement{Team: team.Team, Weight: team.Weight, Limit: team.Limit})
		here = append(here, admission.Load{Team: team.Team, Waiting: team.LocalLoad})
		elsewhere = append(elsewhere, admission.Load{Team: team.Team, Waiting: team.RemoteLoad})
	}
	return admission.ComputeEntryShare(t.Capacity, entitled, here, [][]admission.Load{elsewhere})
}

func (l *playedLine) enter(now time.Time, r QueueRequest) string {
	waiter, refusal := l.line.Enqueue(now, admission.Request{
		Team: r.Team, Queue: r.Queue, Deadline: now.Add(milliseconds(r.TimeoutMS)),
	})
	if refusal != nil {
		return string(refusal.Reason)
	}
	l.waiting = append(l.waiting, waiting{request: r.Request, waiter: waiter})
	return Queued
}

// free hands the slot out and returns who was refused on the way and who got
// it.
func (l *playedLine) free(now time.Time) []string {
	next := l.line.Next(now, func(*admission.Waiter) bool { return true })
	var out []string
	got := NoWaiter
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiting) bool {
		if w.waiter == next {
			got = "slot " + w.request
			l.running[w.waiter.Team]++
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
