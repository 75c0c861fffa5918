package simutil

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/samber/oops"
)

const (
	// lowestPort and portCount are the port range of FreeAddrs. It lies below the range from which
	// kernels take ports for outgoing connections, so that no outgoing connection takes a returned
	// address before the caller listens on it.
	lowestPort = 20000
	portCount  = 12000
	// blockPorts is the number of consecutive ports from which a process takes its addresses. The
	// block depends on the process id, because tests of several packages run at once and would all
	// find the same address free until one of them listens on it.
	blockPorts = 200
	// maxTries bounds the number of ports tried in one call.
	maxTries = 1000
)

// portsTried counts the ports that were tried. They are tried in turn, so that a port is not
// returned again before the caller listens on it.
var portsTried atomic.Int64

// FreeAddrs returns n different loopback addresses that were free when they were checked.
func FreeAddrs(n int) ([]string, error) {
	var addrs []string
	firstPort := lowestPort + os.Getpid()%(portCount/blockPorts)*blockPorts
	for range maxTries {
		if len(addrs) == n {
			return addrs, nil
		}
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+int(portsTried.Add(1))%blockPorts))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		// All listeners stay open until FreeAddrs returns, so that no address is returned twice.
		defer func() { _ = listener.Close() }()
		addrs = append(addrs, addr)
	}
	return nil, oops.Errorf("could not find %d free loopback addresses", n)
}
