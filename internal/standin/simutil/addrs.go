package simutil

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/samber/oops"
)

const (
	// lowestPort and ports are the range of FreeAddrs. It lies below the range from which
	// kernels take ports for outgoing connections, so that none of those takes a returned
	// address before its user listens on it.
	lowestPort = 20000
	ports      = 12000
	// blockPorts is the number of neighbouring ports of which a process takes its addresses. Tests of
	// several packages run at once, and an address is free for all of them until its user listens.
	blockPorts = 200
	// maxTries bounds the ports tried for one call.
	maxTries = 1000
)

// taken counts the ports that were tried. They are tried in turn, so that none comes again before
// the user of its address listens on it.
var taken atomic.Int64

// FreeAddrs returns n different loopback addresses that were free a moment ago.
func FreeAddrs(n int) ([]string, error) {
	var addrs []string
	block := lowestPort + os.Getpid()%(ports/blockPorts)*blockPorts
	for range maxTries {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(block+int(taken.Add(1))%blockPorts))
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
