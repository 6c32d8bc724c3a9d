// Package membership tells an entry which other entries it reaches and what
// they last said of themselves. Members are those of the control stream;
// heartbeats travel between them directly.
package membership
