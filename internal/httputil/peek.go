package httputil

import (
	"errors"
	"net"
	"syscall"
)

// Peek reports whether bytes have arrived on a connection that were not read, without waiting for any. It returns
// syscall.EAGAIN if the connection is open and none have arrived, and errors.ErrUnsupported if it has no file descriptor.
func Peek(conn net.Conn) (arrived bool, err error) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false, errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false, err
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0, errors.Join(err, peekErr)
}
