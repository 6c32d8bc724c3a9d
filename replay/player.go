package replay

import (
	"fmt"
	"slices"

	"github.com/anvilcourse/anvilcourse/dispatch"
	"github.com/anvilcourse/anvilcourse/statemachine"
)

// ControlStream is the name of the stream with the state that authorizes requests.
const ControlStream = "control"

// Deviation is a step whose outcomes differ from the expected ones.
type Deviation struct {
	// Step is the number of the step, from 1.
	Step     int      `json:"step"`
	Expected []string `json:"stated"`
	Got      []string `json:"got"`
}

// String describes the deviation in one line.
func (d Deviation) String() string {
	return fmt.Sprintf("step %d: expected %v, got %v", d.Step, d.Expected, d.Got)
}

// Player replays steps. The zero Player is not usable; see NewPlayer.
type Player struct {
	states map[string]*statemachine.State
	// queue is the admission queue. It is nil until its first event.
	queue *replayedQueue
}

// NewPlayer returns a player positioned at the beginning of every stream.
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
// steps whose outcomes differ from the expected ones.
func Play(t Trace) []Deviation {
	player := NewPlayer()
	var out []Deviation
	for i, step := range t.Steps {
		expected, got := player.Step(step)
		if !slices.Equal(expected, got) {
			out = append(out, Deviation{Step: i + 1, Expected: expected, Got: got})
		}
	}
	return out
}

// Step replays one step and returns its expected and its actual outcomes.
func (p *Player) Step(step Step) (expected, got []string) {
	switch {
	case step.Request != nil:
		return []string{step.Request.Outcome}, []string{p.authorize(*step.Request)}
	case step.Order != nil:
		return []string{step.Order.Outcome}, []string{p.resolveOrder(*step.Order)}
	case step.Job != nil:
		return []string{step.Job.Outcome}, []string{p.resolveJob(*step.Job)}
	case step.Plan != nil:
		return step.Plan.Outcomes, p.planMaintenance(*step.Plan)
	case step.Queue != nil:
		return step.Queue.Outcomes, p.queueEvent(*step.Queue)
	default:
		return step.Append.Outcomes, p.applyPayload(*step.Append)
	}
}

func (p *Player) authorize(r Request) string {
	grant, refusal := dispatch.Authorize(p.State(ControlStream), r.Current, r.Queue, r.KeyHash)
	if grant == nil {
		return string(refusal.Code)
	}
	return Admitted
}

// applyPayload applies a payload and returns the outcome of each record. A
// payload that cannot be decoded is skipped, as the entries do.
func (p *Player) applyPayload(a Append) []string {
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
