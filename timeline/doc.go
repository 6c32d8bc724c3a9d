// Package timeline keeps a bounded ring buffer of events in each process and
// merges the events of all processes into one order.
package timeline
