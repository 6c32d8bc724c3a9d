// Package fleet defines the domain types shared between packages: jobs made of
// steps, the manifest that operators publish, workers on VMs and maintenance
// waves. It makes no scheduling decisions and performs no I/O.
package fleet
