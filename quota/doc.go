// Package quota keeps each team's running tasks under its upper limit. An
// entry holds an integer allotment of every limit and starts tasks only within
// it, so that the sum over all entries cannot exceed the limit.
package quota
