// Package sizing decides from observed load how many VMs each pool needs and
// when a VM moves from one pool to another.
//
// Its input is the running and waiting load that the entries exchange, in
// slots; declared sizes and run times are not used. The package reads no clock
// and does no I/O.
package sizing
