// Package placement chooses the target of a task. It holds slot leases in
// advance, so that a start usually costs one call, and avoids targets that are
// draining, failed or unconfirmed.
package placement
