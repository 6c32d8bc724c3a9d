// Package sizing decides from observed load how many VMs each pool needs and
// when a VM moves from one pool to another.
//
// Its input is the running and waiting load that the entries exchange, in
// slots; declared sizes and run times are not used. Nothing here reads a clock
// or does I/O.
package sizing
