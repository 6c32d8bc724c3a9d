package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/anvilcourse/anvilcourse/api"
	"github.com/anvilcourse/anvilcourse/standin"
)

const (
	orderCount    = 60
	orderParallel = 12
	orderTimeout  = 10 * time.Second
)

// runOrders sends each order twice at once, through two entries, and checks
// that both callers got the same answer. It returns the tasks that ran.
func (s *system) runOrders(ctx context.Context, key api.KeyGranted, queue string, report *Report) []string {
	var mu sync.Mutex
	var tasks []string
	differing := 0
	work := make(chan int)
	var wg sync.WaitGroup
	for range orderParallel {
		wg.Go(func() {
			for i := range work {
				first, second := s.submitTwice(ctx, key, queue, i)
				if first == nil || second == nil {
					continue
				}
				mu.Lock()
				tasks = append(tasks, taskIDOf(first))
				if !bytes.Equal(first, second) {
					differing++
				}
				mu.Unlock()
			}
		})
	}
	for i := range orderCount {
		work <- i
	}
	close(work)
	wg.Wait()
	report.Orders = len(tasks)
	report.check("both callers of a repeated order got one answer", differing == 0, "%d differ", differing)
	report.check("every order was answered", report.Orders == orderCount, "%d of %d", report.Orders, orderCount)
	return tasks
}

// taskIDOf returns the task ID that an answer contains, or "".
func taskIDOf(raw []byte) string {
	var answer standin.TaskAnswer
	if err := json.Unmarshal(raw, &answer); err != nil {
		return ""
	}
	return answer.Task
}

// submitTwice sends the same order through two entries and returns the answers,
// nil for a missing one.
func (s *system) submitTwice(ctx context.Context, key api.KeyGranted, queue string, number int) (first, second []byte) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, nil
	}
	body := fmt.Appendf(nil, `{"order":%d,"work_ms":20}`, number)
	var wg sync.WaitGroup
	send := func(entry int, out *[]byte) {
		reply, err := s.clientFor(entry, key.Key).Submit(ctx, queue, body, orderTimeout, id.String())
		if err == nil {
			*out = reply.Body
		}
	}
	wg.Go(func() { send(number%entryCount, &first) })
	wg.Go(func() { send((number+1)%entryCount, &second) })
	wg.Wait()
	return first, second
}
