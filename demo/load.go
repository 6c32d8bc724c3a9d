package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/standin"
)

// tally counts the outcomes of a load.
type tally struct {
	mu           sync.Mutex
	answered     int
	notRun       int
	failed       int
	unknown      int
	wrongAnswers int
	latency      *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// record counts the outcome of one request.
func (t *tally) record(body []byte, reply api.Reply, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.answered++
		_ = t.latency.RecordValue(took.Microseconds())
		if !answerMatches(body, reply) {
			t.wrongAnswers++
		}
		return
	}
	var problem *api.Problem
	if !errors.As(err, &problem) {
		t.unknown++
		return
	}
	switch problem.Outcome {
	case "not_run":
		t.notRun++
	case "failed":
		t.failed++
	default:
		t.unknown++
	}
}

// answerMatches reports whether the answer is complete and belongs to the request.
func answerMatches(body []byte, reply api.Reply) bool {
	var answer standin.TaskAnswer
	if err := json.Unmarshal(reply.Body, &answer); err != nil {
		return false
	}
	return answer.Digest == standin.Digest(body) && answer.Task == reply.Request
}

// submitMany sends count requests of a queue through the clients, up to parallel
// of them at a time, and records their outcomes in t.
func submitMany(ctx context.Context, clients []*api.Client, queue string, count, parallel int, t *tally) {
	work := make(chan int)
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for i := range work {
				body := fmt.Appendf(nil, `{"queue":%q,"number":%d,"work_ms":%d}`, queue, i, 5+i%20)
				start := time.Now()
				reply, err := clients[i%len(clients)].Submit(ctx, queue, body, 5*time.Second, "")
				t.record(body, reply, time.Since(start), err)
			}
		})
	}
	for i := range count {
		work <- i
	}
	close(work)
	wg.Wait()
}
