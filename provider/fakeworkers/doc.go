// Package fakeworkers is an in-memory provider.Workers with fault switches,
// for tests. It keeps its own count of the starts of each task.
package fakeworkers
