package entry

import (
	"github.com/hashicorp/go-hclog"

	"github.com/anvilcourse/anvilcourse/ingress"
	"github.com/anvilcourse/anvilcourse/settings"
)

const (
	// connectionFraction is the part of the descriptors for clients; the others are for
	// workers, peers, the platform and operators.
	connectionFraction = 0.5
	// reservedDescriptors are kept for files and operators.
	reservedDescriptors = 200
	// minClientConnections and maxClientConnections bound what the descriptors give.
	minClientConnections = 16
	maxClientConnections = 4096
)

// newClientGate returns the gate for clients.
func newClientGate(s settings.Entry, logger hclog.Logger) *ingress.Gate {
	limits := ingress.Limits{
		// A single body at its limit is always served, beside another one.
		HeldBytes:     max(s.ClientMemoryMB<<20, 3*s.MaxBodyBytes),
		Connections:   clientConnections(s),
		HeaderBytes:   s.MaxHeaderBytes,
		Stall:         s.ClientStall.Duration(),
		HeaderTimeout: readHeaderTimeout,
	}
	logger.Info("limits of clients", "held_bytes", limits.HeldBytes, "connections", limits.Connections, "header_bytes", limits.HeaderBytes)
	return ingress.NewGate(limits, logger.Named("clients"))
}

func clientConnections(s settings.Entry) int {
	if s.MaxClientConnections > 0 {
		return s.MaxClientConnections
	}
	byDescriptors := int(float64(ingress.Descriptors(s.MaxDescriptors)-reservedDescriptors) * connectionFraction)
	return min(max(byDescriptors, minClientConnections), maxClientConnections)
}
