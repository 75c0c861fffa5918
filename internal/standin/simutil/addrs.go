package simutil

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/samber/oops"
)

const (
	// lowestPort and ports are the range of FreeAddrs. It lies below the range from which
	// kernels take ports for outgoing connections, so that none of those takes a returned
	// address before its user listens on it.
	lowestPort = 20000
	ports      = 12000
	// maxTries bounds the ports tried for one call.
	maxTries = 1000
)

// FreeAddrs returns n different loopback addresses that were free a moment ago.
func FreeAddrs(n int) ([]string, error) {
	var addrs []string
	for range maxTries {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowestPort+rand.IntN(ports)))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		// All listeners stay open until the end, so that no address comes twice.
		defer func() { _ = listener.Close() }()
		addrs = append(addrs, addr)
	}
	return nil, oops.Errorf("no %d free loopback addresses", n)
}
