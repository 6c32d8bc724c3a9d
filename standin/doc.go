// Package standin emulates the platform for tests and the demonstration: an
// append-only log, workers and an eventually consistent VM list in one HTTP
// server, with fault injection.
package standin
