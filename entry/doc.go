// Package entry is the daemon that runs on each entry VM: it takes the
// callers' requests, lets operators change the configuration, and keeps in
// touch with the other entries. All entries are alike.
package entry
