// Package fakeworkers is an in-memory provider.Workers with fault injection,
// for tests. It counts the starts of each task.
package fakeworkers
