package replay

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 16 << 20

// maxRan bounds the requests of one LineRan.
const maxRan = 100_000

// Trace is a recorded run. Its file has the header on the first line and one
// step on each further line, all in JSON.
type Trace struct {
	Header Header
	Steps  []Step
}

// Header tells what a trace is about.
type Header struct {
	Trace string `json:"trace"`
	// User is the user whose work was recorded.
	User string `json:"user,omitempty"`
	// Guarantee is the invariant that the trace shows.
	Guarantee string `json:"promise,omitempty"`
}

// Step is one line of a trace. Exactly one member is set.
type Step struct {
	Append  *Append          `json:"append,omitempty"`
	Request *Request         `json:"request,omitempty"`
	Order   *OrderResolution `json:"order,omitempty"`
	Job     *JobResolution   `json:"job,omitempty"`
	Plan    *MaintenancePlan `json:"plan,omitempty"`
	Queue   *QueueEvent      `json:"line,omitempty"`
}

// members returns the number of members that are set.
func (s Step) members() int {
	count := 0
	for _, set := range []bool{s.Append != nil, s.Request != nil, s.Order != nil, s.Job != nil, s.Plan != nil, s.Queue != nil} {
		if set {
			count++
		}
	}
	return count
}

// Append is a payload of a stream with the stated outcome of each record.
type Append struct {
	Stream  string          `json:"stream"`
	Offset  uint64          `json:"offset"`
	Payload json.RawMessage `json:"payload"`
	// Outcomes holds, for each record, Applied or the reason why it is void.
	// A payload at an offset that was applied before has none.
	Outcomes []string `json:"outcomes"`
}

// Request is the authorization of a request against the control state that
// the steps before have led to.
type Request struct {
	Queue string `json:"queue"`
	// KeyHash is the hash of the shown key, or "".
	KeyHash string `json:"key"`
	// Current tells whether the entry's control state was current.
	Current bool `json:"current"`
	// Outcome is Admitted or the code of the refusal.
	Outcome string `json:"outcome"`
}

const (
	// Applied is the outcome of a record that took effect.
	Applied = "applied"
	// Admitted is the outcome of a request that is authorized.
	Admitted = "admitted"
)

// Read reads a trace.
func Read(r io.Reader) (Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var out Trace
	line := 0
	for scanner.Scan() {
		line++
		if err := out.readLine(line, scanner.Bytes()); err != nil {
			return Trace{}, errors.Wrapf(err, "line %d", line)
		}
	}
	if err := scanner.Err(); err != nil {
		return Trace{}, errors.Wrap(err, "read trace")
	}
	if line == 0 {
		return Trace{}, errors.New("the trace is empty")
	}
	return out, nil
}

func (t *Trace) readLine(line int, raw []byte) error {
	if line == 1 {
		return json.Unmarshal(raw, &t.Header)
	}
	var step Step
	if err := json.Unmarshal(raw, &step); err != nil {
		return err
	}
	if step.members() != 1 {
		return errors.New("a step holds one of append, request, order, job, plan and line")
	}
	if step.Queue != nil && step.Queue.RunTimes != nil && step.Queue.RunTimes.Count > maxRan {
		return errors.Newf("a step tells of %d requests, and may tell of %d", step.Queue.RunTimes.Count, maxRan)
	}
	t.Steps = append(t.Steps, step)
	return nil
}

// Write writes the trace.
func (t Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(t.Header); err != nil {
		return errors.Wrap(err, "write header")
	}
	for _, step := range t.Steps {
		if err := enc.Encode(step); err != nil {
			return errors.Wrap(err, "write step")
		}
	}
	return nil
}
