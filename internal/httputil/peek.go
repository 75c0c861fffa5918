package httputil

import (
	"errors"
	"net"
	"syscall"
)

// Pending is what has arrived on a connection and was not read. An error, as that of a reset, counts as the end.
type Pending struct{ Bytes, End bool }

// Peek returns what waits to be read from a connection, without an effect on later reads: an error that is pending stays for them.
// It returns errors.ErrUnsupported if that can't be told.
func Peek(conn net.Conn) (Pending, error) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return Pending{}, errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return Pending{}, err
	}
	var pending Pending
	var peekErr error
	err = raw.Control(func(fd uintptr) { pending, peekErr = peek(int(fd)) })
	return pending, errors.Join(err, peekErr)
}
