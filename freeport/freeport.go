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
	// The ports lie below those that the system gives to outgoing connections,
	// so that none of them takes an address between the choice and its use.
	firstPort = 18000
	lastPort  = 32000
	// pidStride spreads processes that run side by side over the range.
	pidStride = 211
)

// given is how many ports this process has tried; no port is handed out twice
// before the range is used up.
var (
	mu    sync.Mutex
	given int
)

// Addresses returns n loopback addresses whose ports were free just now and have
// not been returned before.
func Addresses(n int) ([]string, error) {
	mu.Lock()
	defer mu.Unlock()
	const ports = lastPort - firstPort
	var out []string
	for range ports {
		if len(out) == n {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()*pidStride+given)%ports)
		given++
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close()
		out = append(out, address)
	}
	return nil, errors.Newf("found no %d free ports from %d to %d", n, firstPort, lastPort)
}
