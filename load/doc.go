// Package load drives the demand of a user's teams against running entries,
// within a bounded time and number of requests, and reports what came of it.
package load
