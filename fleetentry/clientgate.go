package fleetentry

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/ingress"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	// headerTimeout bounds the read of a call's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes idle client connections.
	idleTimeout = 60 * time.Second
	// clientMemoryFraction is the part of the VM's memory that clients' requests may take.
	// Decoded and stored, a request takes up to three times its bytes.
	clientMemoryFraction = 1.0 / 24
	// connectionMemoryFraction is the part of the VM's memory that clients' connections may
	// take, at connectionBytes each: goroutine, buffers, an ordinary header, and what the
	// kernel holds unread.
	connectionMemoryFraction = 1.0 / 8
	connectionBytes          = 32 << 10
	// connectionFraction is the part of the descriptors for clients, several times what the
	// clients of a large fleet have open in all: a leader needs nearly all others for workers.
	connectionFraction = 1.0 / 16
	// reservedDescriptors are those that no socket may use.
	reservedDescriptors = 200
	// minClientMB and minConnections are for VMs whose limits the settings do not name.
	minClientMB    = 4
	minConnections = 16
	defaultMB      = 512
	// probeConnections, probeBytes bound what the balancer and a reader of metrics take.
	probeConnections = 32
	probeBytes       = 1 << 20
)

// newClientGate returns the gate for clients, by what the settings say of the VM.
func newClientGate(s settings.FleetEntry, log hclog.Logger) *ingress.Gate {
	limits := ingress.Limits{
		HeldBytes: clientBytes(s), Connections: clientConnections(s), HeaderBytes: s.MaxHeaderBytes,
		Stall: time.Duration(s.ClientStallMS) * time.Millisecond, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	log.Info("limits of clients", "held_bytes", limits.HeldBytes, "connections", limits.Connections, "header_bytes", limits.HeaderBytes)
	return ingress.NewGate(limits, log.Named("clients"))
}

// newProbeGate returns the gate for the addresses that clients do not reach.
func newProbeGate(log hclog.Logger) *ingress.Gate {
	return ingress.NewGate(ingress.Limits{
		HeldBytes: probeBytes, Connections: probeConnections, HeaderBytes: settings.DefaultFleetEntry().MaxHeaderBytes,
		Stall: headerTimeout, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}, log.Named("probes"))
}

func memoryMB(s settings.FleetEntry) int64 {
	if s.MemoryMB > 0 {
		return s.MemoryMB
	}
	return defaultMB
}

func clientBytes(s settings.FleetEntry) int64 {
	if s.ClientMemoryMB > 0 {
		return s.ClientMemoryMB << 20
	}
	return max(minClientMB<<20, int64(float64(memoryMB(s)<<20)*clientMemoryFraction))
}

func clientConnections(s settings.FleetEntry) int {
	if s.MaxClientConnections > 0 {
		return s.MaxClientConnections
	}
	byDescriptors := float64(ingress.Descriptors(s.MaxDescriptors)-reservedDescriptors) * connectionFraction
	byMemory := float64(memoryMB(s)<<20) * connectionMemoryFraction / connectionBytes
	return max(minConnections, int(min(byDescriptors, byMemory)))
}
