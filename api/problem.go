package api

import "fmt"

// ProblemType is the media type of a Problem.
const ProblemType = "application/problem+json"

// Problem is an error answer in the form of RFC 9457.
type Problem struct {
	// Title is the machine-readable reason.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail is one sentence for people.
	Detail string `json:"detail"`
	// Outcome is not_run, failed or unknown.
	Outcome string `json:"outcome"`
	// Request is the ID of the request, if it got one.
	Request string `json:"request,omitempty"`
}

// Error implements the error interface.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", p.Status, p.Title, p.Outcome, p.Detail)
}
