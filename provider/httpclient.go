package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout         = 500 * time.Millisecond
	idleConnTimeout     = 30 * time.Second
	maxErrorBytes       = 4096
	maxIdleConnsPerHost = 512
)

// NewHTTPClient returns a client for the HTTP adapters, with keep-alive
// connections. It sends no request twice: a transport-level retry would start a
// task a second time.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport}
}

// ErrorBody is the JSON body of a refused call.
type ErrorBody struct {
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Message string  `json:"message"`
}

// newRequest builds a request that the transport never repeats by itself:
// without GetBody a body cannot be resent.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	return req, nil
}

// transportError classifies the failure of a request that got no reply.
func transportError(op string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &Error{Op: op, Outcome: Refused, Code: CodeUnreachable, Message: err.Error()}
	}
	return &Error{Op: op, Outcome: Unknown, Code: CodeTimeout, Message: err.Error()}
}

// responseError reads the typed error out of a reply that is not a success.
func responseError(op string, resp *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return &Error{Op: op, Outcome: Unknown, Code: CodeTruncated, Message: err.Error()}
	}
	var body ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Outcome == "" {
		return &Error{Op: op, Outcome: Unknown, Code: CodeUnavailable, Message: resp.Status}
	}
	return &Error{Op: op, Outcome: body.Outcome, Code: body.Code, Message: body.Message}
}

// callJSON sends in as JSON and decodes the reply into out. A nil in sends an
// empty body and a nil out discards the reply.
func callJSON(ctx context.Context, client *http.Client, op, method, url string, in, out any) error {
	var body []byte
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return &Error{Op: op, Outcome: Refused, Code: CodeInvalid, Message: err.Error()}
		}
		body = raw
	}
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return &Error{Op: op, Outcome: Refused, Code: CodeInvalid, Message: err.Error()}
	}
	resp, err := client.Do(req)
	if err != nil {
		return transportError(op, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return responseError(op, resp)
	}
	if out == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &Error{Op: op, Outcome: Unknown, Code: CodeTruncated, Message: err.Error()}
	}
	return nil
}
