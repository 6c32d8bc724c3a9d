// Package entry is the daemon that runs on each entry VM: it serves the
// clients' requests, lets operators change the configuration, and exchanges
// heartbeats with the other entries. All entries have the same role.
package entry
