package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TaskBody holds the members of a task's body that the emulated VM interprets.
// Others are ignored, and a body that is not JSON has a run time of 0.
type TaskBody struct {
	// RunTimeMS is the run time of the task, in milliseconds.
	RunTimeMS int `json:"work_ms"`
	// Fail makes the task fail.
	Fail bool `json:"fail"`
	// AnswerBytes is the size of the answer's padding, and so its minimum size.
	AnswerBytes int `json:"answer_bytes"`
}

func parseTaskBody(body []byte) TaskBody {
	var work TaskBody
	_ = json.Unmarshal(body, &work)
	return work
}

func (w TaskBody) duration() time.Duration {
	return time.Duration(w.RunTimeMS) * time.Millisecond
}

// TaskAnswer is the answer of a task. Digest lets the client check that the
// answer belongs to its own request.
type TaskAnswer struct {
	Task   string `json:"task"`
	VM     string `json:"vm"`
	Digest string `json:"digest"`
	// StartedUS and EndedUS bound the time in which the task held its slot, in
	// Unix microseconds of the VM's clock.
	StartedUS int64  `json:"started_us"`
	EndedUS   int64  `json:"ended_us"`
	Padding   string `json:"padding,omitempty"`
}

// Digest returns the digest of a request body, as TaskAnswer carries it.
func Digest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

func encodeAnswer(vm string, t *task, ended time.Time, body []byte) []byte {
	padding := strings.Repeat("x", max(0, t.body.AnswerBytes))
	out, _ := json.Marshal(TaskAnswer{
		Task: t.status.ID, VM: vm, Digest: Digest(body),
		StartedUS: t.startedAt.UnixMicro(), EndedUS: ended.UnixMicro(), Padding: padding,
	})
	return out
}
