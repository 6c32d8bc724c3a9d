// Package timeline keeps a bounded ring of events in each process and merges
// the rings of all processes into one order.
package timeline
