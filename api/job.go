package api

import (
	"context"
	"net/http"
	"net/url"

	"github.com/anvilcourse/anvilcourse/statemachine"
)

// Job is what a caller sees of its job.
type Job struct {
	ID    string                `json:"id"`
	State statemachine.JobState `json:"state"`
	// Attempt counts the starts.
	Attempt int `json:"attempt,omitempty"`
	// VM is the target of the latest start.
	VM string `json:"vm,omitempty"`
	// Answer is the whole answer of a job that is done, in base64 in JSON.
	Answer []byte `json:"answer,omitempty"`
	// Message says why a job ended without an answer.
	Message string `json:"message,omitempty"`
	// Reason is why a job has failed.
	Reason statemachine.JobFailureReason `json:"reason,omitempty"`
}

// SubmitJob sends a job to a queue. It returns once the job is in the log. An
// idempotency key of zero value is left out.
func (c *Client) SubmitJob(ctx context.Context, queue string, body []byte, idempotencyKey string) (Job, error) {
	headers := make(http.Header)
	if idempotencyKey != "" {
		headers.Set(HeaderIdempotencyKey, idempotencyKey)
	}
	var out Job
	_, raw, err := c.do(ctx, http.MethodPost, "/v1/queues/"+url.PathEscape(queue)+"/jobs", headers, body)
	if err != nil {
		return out, err
	}
	return out, decode(raw, &out)
}

// GetJob reads a job.
func (c *Client) GetJob(ctx context.Context, id string) (Job, error) {
	var out Job
	err := c.Get(ctx, "/v1/jobs/"+url.PathEscape(id), &out)
	return out, err
}

// CancelJob ends a job that waits and asks for the end of one that runs.
func (c *Client) CancelJob(ctx context.Context, id string) error {
	var out Job
	return c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, &out)
}
