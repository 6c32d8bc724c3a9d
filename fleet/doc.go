// Package fleet holds the types of the fleet that more than one package needs:
// jobs made of steps, the manifest that operators publish, workers on VMs and
// maintenance waves. It decides nothing and performs no I/O.
package fleet
