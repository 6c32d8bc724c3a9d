package replay

import (
	"slices"
	"time"

	"github.com/anvilcourse/anvilcourse/admission"
)

// LineEvent is one event at the line in which an entry's requests wait for
// slots. Exactly one of Teams, Ran, Running, Enter and Free is set.
type LineEvent struct {
	// AtMS is the time of the event in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
	// Teams changes what the teams are owed.
	Teams *LineTeams `json:"teams,omitempty"`
	// Ran tells of requests that ran.
	Ran *LineRan `json:"ran,omitempty"`
	// Running changes the number of tasks that run here, by team.
	Running map[string]int `json:"running,omitempty"`
	// Enter is a request that finds no free slot.
	Enter *LineRequest `json:"enter,omitempty"`
	// Free tells that a slot came free.
	Free bool `json:"free,omitempty"`
	// Outcomes tells, for Enter, Waits or why the request is refused; for Free,
	// which requests were refused on the way and which got the slot.
	Outcomes []string `json:"outcomes"`
}

const (
	// Waits is the outcome of a request that may wait.
	Waits = "waits"
	// Nobody is the outcome of a free slot that no request waits for.
	Nobody = "nobody"
)

// LineTeams is a capacity in slots and the teams that share it.
type LineTeams struct {
	Capacity float64    `json:"capacity"`
	Teams    []LineTeam `json:"teams"`
}

// LineTeam is one team's entitlement and load.
type LineTeam struct {
	Team string `json:"team"`
	// Weight is the team's share, Limit its upper limit in slots.
	Weight float64 `json:"weight"`
	Limit  float64 `json:"limit"`
	// Here and Elsewhere are the numbers of its requests that wait or run.
	Here      float64 `json:"here"`
	Elsewhere float64 `json:"elsewhere"`
}

// LineRan is a number of requests that ran for the same time.
type LineRan struct {
	Queue  string `json:"queue"`
	Count  int    `json:"count"`
	TookMS int64  `json:"took_ms"`
}

// LineRequest is a request at the line.
type LineRequest struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Queue   string `json:"queue"`
	// PatienceMS is how long its caller waits, in milliseconds.
	PatienceMS int64 `json:"patience_ms"`
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

func (p *Player) lineEvent(e LineEvent) []string {
	if p.line == nil {
		p.line = newPlayedLine()
	}
	now := timeOf(e.AtMS)
	switch {
	case e.Teams != nil:
		p.line.line.SetEntryShare(e.Teams.parts())
	case e.Ran != nil:
		for range e.Ran.Count {
			p.line.line.RunTimes(now, e.Ran.Queue).Observe(now, milliseconds(e.Ran.TookMS))
		}
	case e.Running != nil:
		p.line.running = e.Running
	case e.Enter != nil:
		return []string{p.line.enter(now, *e.Enter)}
	case e.Free:
		return p.line.free(now)
	}
	return nil
}

// parts computes what the entry may use, as it does from the heartbeats.
func (t LineTeams) parts() admission.EntryShare {
	var entitled []admission.Entitlement
	var here, elsewhere []admission.Load
	for _, team := range t.Teams {
		entitled = append(entitled, admission.Entitlement{Team: team.Team, Weight: team.Weight, Limit: team.Limit})
		here = append(here, admission.Load{Team: team.Team, Waiting: team.Here})
		elsewhere = append(elsewhere, admission.Load{Team: team.Team, Waiting: team.Elsewhere})
	}
	return admission.ComputeEntryShare(t.Capacity, entitled, here, [][]admission.Load{elsewhere})
}

func (l *playedLine) enter(now time.Time, r LineRequest) string {
	waiter, refusal := l.line.Enqueue(now, admission.Request{
		Team: r.Team, Queue: r.Queue, Deadline: now.Add(milliseconds(r.PatienceMS)),
	})
	if refusal != nil {
		return string(refusal.Reason)
	}
	l.waiting = append(l.waiting, waiting{request: r.Request, waiter: waiter})
	return Waits
}

// free hands the slot out and returns who was refused on the way and who got
// it.
func (l *playedLine) free(now time.Time) []string {
	next := l.line.Next(now, func(*admission.Waiter) bool { return true })
	var out []string
	got := Nobody
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
