package httputil

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// Pending is what has arrived on a connection and was not read. An error, as that of a reset, counts as the end.
type Pending struct{ Bytes, End bool }

// Peek returns what waits to be read from a connection, without an effect on later reads: an error that is pending stays for them.
// It returns errors.ErrUnsupported if that can't be told.
func Peek(conn net.Conn) (Pending, error) {
	return control(conn, peek)
}

// SinceLastSegment returns the time since the last segment has arrived on a TCP connection. It returns errors.ErrUnsupported if that
// can't be told.
func SinceLastSegment(conn net.Conn) (time.Duration, error) {
	return control(conn, sinceLastSegment)
}

// control calls f with the file descriptor of a connection.
func control[T any](conn net.Conn, f func(fd int) (T, error)) (result T, err error) {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return result, errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return result, err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { result, callErr = f(int(fd)) })
	return result, errors.Join(err, callErr)
}
