// Package placement chooses the target of a task. It holds slot leases ahead,
// so that a start usually costs one call, and it keeps away from targets that
// leave, failed or are unconfirmed.
package placement
