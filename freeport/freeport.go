// Package freeport finds loopback addresses for processes that are about to
// listen.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// The ports lie below those that the system gives to outgoing connections,
	// so that none of them takes an address between the choice and its use.
	firstPort = 18000
	lastPort  = 32000
	maxTries  = 200
)

// Addresses returns n loopback addresses whose ports were free just now.
func Addresses(n int) ([]string, error) {
	var out []string
	for range maxTries {
		if len(out) == n {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close()
		out = append(out, address)
	}
	return nil, errors.Newf("found no %d free ports from %d to %d", n, firstPort, lastPort)
}
