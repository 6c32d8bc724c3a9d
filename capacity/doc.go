// Package capacity holds the benchmarks behind docs/CAPACITY.md: what one entry
// spends on its control plane per VM, team, key and peer.
package capacity
