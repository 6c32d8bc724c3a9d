package replay

import (
	"fmt"
	"slices"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ControlStream is the name of the stream that requests are authorized by.
const ControlStream = "control"

// Deviation is a step that did not end as stated.
type Deviation struct {
	// Step is the number of the step, from 1.
	Step     int      `json:"step"`
	Expected []string `json:"stated"`
	Got      []string `json:"got"`
}

// String describes the deviation in one line.
func (d Deviation) String() string {
	return fmt.Sprintf("step %d: stated %v, got %v", d.Step, d.Expected, d.Got)
}

// Player replays steps. The zero Player is not usable; see NewPlayer.
type Player struct {
	states map[string]*statemachine.State
	// line is where the trace's requests wait, once one of its events came.
	line *playedLine
}

// NewPlayer returns a player at the beginning of every stream.
func NewPlayer() *Player {
	return &Player{states: make(map[string]*statemachine.State)}
}

// State returns the state of a stream as replayed so far.
func (p *Player) State(stream string) *statemachine.State {
	if s, ok := p.states[stream]; ok {
		return s
	}
	return statemachine.New()
}

// Play replays the trace from the beginning of every stream and returns the
// steps that did not end as stated.
func Play(t Trace) []Deviation {
	player := NewPlayer()
	var out []Deviation
	for i, step := range t.Steps {
		stated, got := player.Step(step)
		if !slices.Equal(stated, got) {
			out = append(out, Deviation{Step: i + 1, Expected: stated, Got: got})
		}
	}
	return out
}

// Step replays one step and returns its stated and its actual outcomes.
func (p *Player) Step(step Step) (stated, got []string) {
	switch {
	case step.Request != nil:
		return []string{step.Request.Outcome}, []string{p.request(*step.Request)}
	case step.Order != nil:
		return []string{step.Order.Outcome}, []string{p.judgeOrder(*step.Order)}
	case step.Job != nil:
		return []string{step.Job.Outcome}, []string{p.judgeJob(*step.Job)}
	case step.Plan != nil:
		return step.Plan.Outcomes, p.plan(*step.Plan)
	case step.Queue != nil:
		return step.Queue.Outcomes, p.lineEvent(*step.Queue)
	default:
		return step.Append.Outcomes, p.append(*step.Append)
	}
}

func (p *Player) request(r Request) string {
	grant, refusal := dispatch.Authorize(p.State(ControlStream), r.Current, r.Queue, r.KeyHash)
	if grant == nil {
		return string(refusal.Code)
	}
	return Admitted
}

// append applies a payload and returns the outcome of each record. A payload
// that cannot be decoded is skipped, as the entries skip it.
func (p *Player) append(a Append) []string {
	state := p.State(a.Stream)
	batch, err := statemachine.DecodeBatch(a.Payload)
	if err != nil {
		p.states[a.Stream] = state.Skip(a.Offset)
		return []string{"undecodable"}
	}
	next, results := state.Apply(a.Offset, batch)
	p.states[a.Stream] = next
	var out []string
	for _, r := range results {
		out = append(out, outcomeOf(r))
	}
	return out
}

func outcomeOf(r statemachine.Result) string {
	if r.Rejection == nil {
		return Applied
	}
	return string(r.Rejection.Reason)
}
