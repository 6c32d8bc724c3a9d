// Package freeport finds loopback addresses for processes that are about to
// listen.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// The ports are below the ephemeral port range, so that no outgoing
	// connection takes an address between its choice and its use.
	firstPort = 18000
	lastPort  = 32000
	// pidStride spreads concurrent processes over the range.
	pidStride = 211
)

// nextIndex is the number of ports that this process has tried; no port is returned
// twice before the range is exhausted.
var (
	mu        sync.Mutex
	nextIndex int
)

// Addresses returns n loopback addresses whose ports are free at the time of the
// call and have not been returned before.
func Addresses(n int) ([]string, error) {
	mu.Lock()
	defer mu.Unlock()
	const ports = lastPort - firstPort
	var out []string
	for range ports {
		if len(out) == n {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()*pidStride+nextIndex)%ports)
		nextIndex++
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close()
		out = append(out, address)
	}
	return nil, errors.Newf("found no %d free ports from %d to %d", n, firstPort, lastPort)
}
