package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TaskBody is the part of a task's body that the stand-in understands. Other
// members are ignored, and a body that is not JSON runs for no time.
type TaskBody struct {
	// RunTimeMS is the run time in milliseconds.
	RunTimeMS int `json:"work_ms"`
	// Fail ends the task in failure.
	Fail bool `json:"fail"`
	// AnswerBytes pads the answer to at least this size.
	AnswerBytes int `json:"answer_bytes"`
}

func parseWork(body []byte) TaskBody {
	var work TaskBody
	_ = json.Unmarshal(body, &work)
	return work
}

func (w TaskBody) duration() time.Duration {
	return time.Duration(w.RunTimeMS) * time.Millisecond
}

// TaskAnswer is the answer of a task of the stand-in. Digest lets a caller
// check that the answer belongs to its own request.
type TaskAnswer struct {
	Task   string `json:"task"`
	VM     string `json:"vm"`
	Digest string `json:"digest"`
	// StartedUS and EndedUS bound the time in which the task held its slot, by
	// the VM's clock in Unix microseconds.
	StartedUS int64  `json:"started_us"`
	EndedUS   int64  `json:"ended_us"`
	Padding   string `json:"padding,omitempty"`
}

// Digest returns the digest of a request body that a TaskAnswer carries.
func Digest(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

func answer(vm string, t *task, ended time.Time, body []byte) []byte {
	padding := strings.Repeat("x", max(0, t.work.AnswerBytes))
	out, _ := json.Marshal(TaskAnswer{
		Task: t.status.ID, VM: vm, Digest: Digest(body),
		StartedUS: t.start.UnixMicro(), EndedUS: ended.UnixMicro(), Padding: padding,
	})
	return out
}
