package httputil

import (
	"errors"
	"net"
	"syscall"
)

// Peek reports whether bytes have arrived on a connection that were not read, without waiting for any and without an effect on later
// reads: a pending error stays for them. It returns false without an error if the other side has ended the connection and
// all bytes were read, syscall.EAGAIN if it is open and none have arrived, and errors.ErrUnsupported if the connection has no
// file descriptor.
func Peek(conn net.Conn) (arrived bool, err error) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false, errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) { arrived, peekErr = peek(int(fd)) })
	return arrived, errors.Join(err, peekErr)
}
