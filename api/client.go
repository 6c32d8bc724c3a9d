package api

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilcourse/anvilcourse/statemachine"
	"github.com/anvilcourse/anvilcourse/timeline"
)

// Client calls one entry. Its methods return a *Problem if the entry refuses.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client for the base URL, such as http://127.0.0.1:7000,
// that shows the key.
func NewClient(base, key string, client *http.Client) *Client {
	return &Client{base: base, key: key, http: client}
}

// Reply is the answer to a caller's request.
type Reply struct {
	Body    []byte
	Request string
	VM      string
}

// Submit sends a request to a queue and waits for its answer. A timeout or an
// idempotency key of zero value is left out.
func (c *Client) Submit(ctx context.Context, queue string, body []byte, timeout time.Duration, idempotencyKey string) (Reply, error) {
	headers := make(http.Header)
	if timeout > 0 {
		headers.Set(HeaderTimeout, strconv.FormatFloat(timeout.Seconds(), 'f', -1, 64))
	}
	if idempotencyKey != "" {
		headers.Set(HeaderIdempotencyKey, idempotencyKey)
	}
	resp, raw, err := c.do(ctx, http.MethodPost, "/v1/queues/"+url.PathEscape(queue)+"/requests", headers, body)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Body: raw, Request: resp.Header.Get(HeaderRequest), VM: resp.Header.Get(HeaderVM)}, nil
}

// SetTemplate publishes or amends a template. Version is the version to
// amend, or 0 to publish a new one.
func (c *Client) SetTemplate(ctx context.Context, t statemachine.Template, version uint64) (Accepted, error) {
	return c.set(ctx, "/v1/templates/"+url.PathEscape(t.Name), t, version)
}

// SetWorkspace creates or changes a workspace.
func (c *Client) SetWorkspace(ctx context.Context, w statemachine.Workspace, version uint64) (Accepted, error) {
	return c.set(ctx, "/v1/workspaces/"+url.PathEscape(w.Name), w, version)
}

// SetPool creates or changes a pool.
func (c *Client) SetPool(ctx context.Context, p statemachine.Pool, version uint64) (Accepted, error) {
	return c.set(ctx, "/v1/pools/"+url.PathEscape(p.Name), p, version)
}

func (c *Client) set(ctx context.Context, path string, body any, version uint64) (Accepted, error) {
	headers := make(http.Header)
	headers.Set("If-Match", strconv.FormatUint(version, 10))
	var out Accepted
	err := c.call(ctx, http.MethodPut, path+"?wait=applied", headers, body, &out)
	return out, err
}

// GrantKey makes a new key for a workspace.
func (c *Client) GrantKey(ctx context.Context, req KeyGrantRequest) (KeyGranted, error) {
	var out KeyGranted
	err := c.call(ctx, http.MethodPost, "/v1/keys?wait=applied", nil, req, &out)
	return out, err
}

// WithdrawKey takes the key of the hash out of force.
func (c *Client) WithdrawKey(ctx context.Context, hash string) (Accepted, error) {
	var out Accepted
	err := c.call(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(hash)+"?wait=applied", nil, nil, &out)
	return out, err
}

// QuarantineVM keeps the VM from new work until it is released.
func (c *Client) QuarantineVM(ctx context.Context, vm string, req VMQuarantineRequest) (Accepted, error) {
	var out Accepted
	err := c.call(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(vm)+"/quarantine", nil, req, &out)
	return out, err
}

// ReleaseVM ends the VM's quarantine.
func (c *Client) ReleaseVM(ctx context.Context, vm string, req VMReleaseRequest) (Accepted, error) {
	var out Accepted
	err := c.call(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(vm)+"/release", nil, req, &out)
	return out, err
}

// MoveVM moves a VM to another pool.
func (c *Client) MoveVM(ctx context.Context, vm string, req VMMoveRequest) (Accepted, error) {
	var out Accepted
	err := c.call(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(vm)+"/move", nil, req, &out)
	return out, err
}

// Get reads the operators' resource at the path into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, nil, out)
}

// Status reads the entry's view of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.Get(ctx, "/v1/status", &out)
	return out, err
}

// Timeline reads the entry's events that pass the filter.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) (Timeline, error) {
	query := url.Values{}
	query.Set("team", f.Team)
	query.Set("vm", f.VM)
	query.Set("request", f.Request)
	query.Set("wave", f.Wave)
	var out Timeline
	err := c.Get(ctx, "/v1/timeline?"+query.Encode(), &out)
	return out, err
}

func (c *Client) call(ctx context.Context, method, path string, headers http.Header, in, out any) error {
	var body []byte
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode")
		}
		body = raw
	}
	_, raw, err := c.do(ctx, method, path, headers, body)
	if err != nil {
		return err
	}
	return decode(raw, out)
}

func decode(raw []byte, out any) error {
	return errors.Wrap(json.Unmarshal(raw, out), "decode answer")
}

// do sends one request and reads the whole answer.
func (c *Client) do(ctx context.Context, method, path string, headers http.Header, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	for name, values := range headers {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, readProblem(resp, raw)
	}
	return resp, raw, nil
}

func readProblem(resp *http.Response, raw []byte) error {
	problem := &Problem{}
	if err := json.Unmarshal(raw, problem); err != nil || problem.Status == 0 {
		return &Problem{Title: "unreadable_answer", Status: resp.StatusCode, Detail: resp.Status, Outcome: "unknown"}
	}
	return problem
}

// StartWave starts a maintenance wave.
func (c *Client) StartWave(ctx context.Context, req WaveRequest) (Accepted, error) {
	var out Accepted
	err := c.call(ctx, http.MethodPost, "/v1/waves", nil, req, &out)
	return out, err
}

// ChangeWave pauses, resumes or aborts a wave; verb is one of these words.
func (c *Client) ChangeWave(ctx context.Context, id, verb string) (Accepted, error) {
	var out Accepted
	err := c.call(ctx, http.MethodPost, "/v1/waves/"+url.PathEscape(id)+"/"+verb, nil, nil, &out)
	return out, err
}

// Waves reads the waves, how far they are and what they wait for.
func (c *Client) Waves(ctx context.Context) ([]WaveStatus, error) {
	var out []WaveStatus
	err := c.Get(ctx, "/v1/waves", &out)
	return out, err
}
