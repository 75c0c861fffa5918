package httputil

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// KeepUnread returns a listener for a server whose idle and header timeouts don't close a connection on which bytes of a request
// have arrived: these are read, within timeout once more for each request. A process that was suspended notices both at the same
// time. It sets the server's ConnState.
func KeepUnread(server *http.Server, l net.Listener, timeout time.Duration) net.Listener {
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*unreadConn); ok {
			conn.setState(state)
		}
	}
	return unreadListener{l, timeout}
}

type unreadListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l unreadListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &unreadConn{Conn: accepted, timeout: l.timeout}, nil
}

type unreadConn struct {
	net.Conn
	timeout time.Duration

	mu sync.Mutex
	// active reports whether a request's header has arrived and its response is not complete yet.
	active bool
	// prolonged is set once the wait for the next request has been prolonged.
	prolonged bool
}

func (c *unreadConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state == http.StateIdle {
		c.prolonged = false
	}
}

// Read implements net.Conn.
func (c *unreadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.prolong() {
		return c.Conn.Read(b)
	}
	return n, err
}

// CloseWrite closes the sending side.
func (c *unreadConn) CloseWrite() error { return CloseWrite(c.Conn) }

// SetLinger sets the time for which a close waits for unsent bytes.
func (c *unreadConn) SetLinger(seconds int) error { return SetLinger(c.Conn, seconds) }

func (c *unreadConn) prolong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.prolonged {
		return false
	}
	if pending, err := Peek(c.Conn); err != nil || !pending.Bytes {
		return false
	}
	c.prolonged = true
	return c.SetReadDeadline(time.Now().Add(c.timeout)) == nil
}
