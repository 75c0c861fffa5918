package httputil

import (
	"context"
	"errors"
	"net"
	"net/http"
)

type connKey struct{}

// WithConn makes a connection known to the handlers of its requests. It is an http.Server's ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request, or nil if it is not known.
func ConnOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// ResetUnlessComplete lets the connection of a request of HTTP/1.0 end with a reset until complete is called. The end of the
// connection ends a response without a length there, and would make a part of it look whole: at a handler that panics, a server
// that is closed and a process that is killed. It needs WithConn.
func ResetUnlessComplete(r *http.Request) (complete func()) {
	conn := ConnOf(r)
	if conn == nil || r.ProtoAtLeast(1, 1) || SetLinger(conn, 0) != nil {
		return func() {}
	}
	return func() { _ = SetLinger(conn, -1) }
}

// SetLinger sets the time for which a close waits for unsent bytes, in seconds: 0 resets the connection, -1 sends them in the
// background. A listener's connections need a method that calls it.
func SetLinger(conn net.Conn, seconds int) error {
	lingering, ok := conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return lingering.SetLinger(seconds)
}
