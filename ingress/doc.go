// Package ingress bounds what a process holds for the clients that call it: the bytes of
// their requests, their connections and the time for which either may stand still. It
// answers clients that send many large bodies, or none of their last byte, and serves the
// others beside them.
package ingress
