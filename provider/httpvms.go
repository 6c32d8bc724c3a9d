package provider

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
)

// httpVMs is the HTTP adapter of VMs. It sends conditional requests, so that an
// unchanged list is not transferred again.
type httpVMs struct {
	base   string
	client *http.Client

	mu         sync.Mutex
	etag       string
	cachedList []VMInfo
}

// NewHTTPVMs returns the VM list at the base URL. The lists that it returns
// are shared between calls and must not be changed.
func NewHTTPVMs(base string, client *http.Client) VMs {
	return &httpVMs{base: base, client: client}
}

func (v *httpVMs) List(ctx context.Context) ([]VMInfo, error) {
	const op = "vms.list"
	etag, last := v.cached()
	req, err := newRequest(ctx, http.MethodGet, v.base+"/v1/vms", nil)
	if err != nil {
		return nil, &Error{Op: op, Outcome: Refused, Code: CodeInvalid, Message: err.Error()}
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := v.client.Do(req)
	if err != nil {
		return nil, transportError(op, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return last, nil
	case http.StatusOK:
		return v.decodeList(op, resp)
	default:
		return nil, responseError(op, resp)
	}
}

// cached returns the entity tag of the last list, and the list.
func (v *httpVMs) cached() (string, []VMInfo) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.etag, v.cachedList
}

func (v *httpVMs) decodeList(op string, resp *http.Response) ([]VMInfo, error) {
	var list []VMInfo
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, &Error{Op: op, Outcome: Unknown, Code: CodeTruncated, Message: err.Error()}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.etag, v.cachedList = resp.Header.Get("ETag"), list
	return list, nil
}
