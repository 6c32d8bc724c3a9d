package provider

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// httpLog is the HTTP adapter of Log.
type httpLog struct {
	base   string
	client *http.Client
}

// NewHTTPLog returns the log service at the base URL.
func NewHTTPLog(base string, client *http.Client) Log {
	return &httpLog{base: base, client: client}
}

// AppendRequest is the JSON body of an append.
type AppendRequest struct {
	Payloads [][]byte `json:"payloads"`
}

// AppendReply is the JSON reply to an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

func (l *httpLog) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	target := l.base + "/v1/streams/" + url.PathEscape(stream) + "/records"
	var reply AppendReply
	err := callJSON(ctx, l.client, "log.append", http.MethodPost, target, AppendRequest{Payloads: payloads}, &reply)
	return reply.Offset, err
}

func (l *httpLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	target := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&limit=%d&wait_ms=%d",
		l.base, url.PathEscape(stream), from, limit, wait.Milliseconds())
	var page Page
	err := callJSON(ctx, l.client, "log.read", http.MethodGet, target, nil, &page)
	return page, err
}
