// Package dispatch carries a request from its caller to a target and the answer
// back: it authorizes, admits, places and calls.
//
// Guarantee: an Outcome of NotRun means that no target has started the request
// and none will. Once an attempt may have reached a target, the request ends as
// Answered, Failed or Unknown.
package dispatch
