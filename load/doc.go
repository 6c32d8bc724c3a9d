// Package load generates the demand of a user's teams against running entries,
// within a bounded time and number of requests, and reports the results.
package load
