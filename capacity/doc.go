// Package capacity holds the benchmarks whose slopes docs/CAPACITY.md works
// out: what one entry spends on control per VM, team, key and peer.
package capacity
