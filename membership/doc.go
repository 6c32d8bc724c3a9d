// Package membership tracks which other entries an entry reaches and the
// status that they last reported. The control stream defines the members;
// heartbeats are exchanged between them directly.
package membership
