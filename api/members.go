package api

import (
	"context"
	"net/http"
	"net/url"
)

// EntryGoneRequest states that the process of a removed entry has ended and
// will not run again.
type EntryGoneRequest struct {
	// By names the operator.
	By string `json:"by" validate:"required,max=200"`
	// Reason says how the operator knows.
	Reason string `json:"reason" validate:"required,max=200"`
}

// Entries returns the entries as one of them sees them.
func (c *Client) Entries(ctx context.Context) ([]EntryStatus, error) {
	var out []EntryStatus
	err := c.Get(ctx, "/v1/entries", &out)
	return out, err
}

// EntryGone records that the removed incarnation runs no more.
func (c *Client) EntryGone(ctx context.Context, incarnation string, req EntryGoneRequest) (Accepted, error) {
	var out Accepted
	err := c.call(ctx, http.MethodPost, "/v1/entries/"+url.PathEscape(incarnation)+"/gone", nil, req, &out)
	return out, err
}
