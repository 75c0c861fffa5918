package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

// callerListener wraps connections so that their timeouts follow the configuration in force. The
// timeouts of net/http are fixed when the server starts.
type callerListener struct {
	net.Listener
	// idleTimeout and headerTimeout are those of the configuration in force.
	idleTimeout, headerTimeout func() time.Duration
	// ended is called when a connection ends, with what it held.
	ended func(c *callerConn, held string)

	mu      sync.Mutex
	open    map[*callerConn]bool
	retired bool
}

func newCallerListener(l net.Listener, idleTimeout, headerTimeout func() time.Duration, ended func(c *callerConn, held string)) *callerListener {
	return &callerListener{Listener: l, idleTimeout: idleTimeout, headerTimeout: headerTimeout, ended: ended, open: make(map[*callerConn]bool)}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &callerConn{Conn: accepted, listener: l, retired: l.retired}
	l.open[c] = true
	return c, nil
}

// retire closes the listener and the idle connections, and those that become idle later. Connections that have not
// carried a request yet stay open for one. In contrast to http.Server.Shutdown, requests that are read afterwards are
// served: their callers could not tell whether they have run.
func (l *callerListener) retire() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	for c := range l.open {
		c.retire()
	}
}

type callerConn struct {
	net.Conn
	listener *callerListener
	record   connRecord

	// mu guards the state and orders changes of the read deadline.
	mu sync.Mutex
	// active reports whether a request's header has arrived and its response is not complete yet, and used whether
	// the connection has carried a request. A retired connection carries no second one.
	active, used, retired bool
	// announced is the idle timeout that the last response announced, or 0.
	announced time.Duration
	// prolonged is set once the wait for the next request has been prolonged.
	prolonged bool
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	open := c.listener.open[c]
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	if open {
		c.listener.ended(c, c.held())
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *callerConn) CloseWrite() error { return httputil.CloseWrite(c.Conn) }

// SetLinger sets the time for which a close waits for unsent bytes.
func (c *callerConn) SetLinger(seconds int) error { return httputil.SetLinger(c.Conn, seconds) }

// setActive records the connection's state. When a request arrives it removes the deadline of the idle
// connection, which would otherwise end that request.
func (c *callerConn) setActive(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !active:
		c.record.becameIdle()
		c.prolonged = false
	case !c.active:
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.record.requests.Add(1)
	}
	c.active = active
	c.used = c.used || active
}

// retire ends the wait for a further request. A request that has been read is not lost, as it would be if the
// connection were closed here.
func (c *callerConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if c.awaitsNoRequest() {
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// awaitsNoRequest reports whether the connection is retired and carries no further request. The rest of a request of which a
// part was read is received: its caller has sent it while the connection was open.
func (c *callerConn) awaitsNoRequest() bool {
	return c.retired && c.used && !c.active && c.record.received.Load() == 0
}

// Read implements net.Conn. Bytes of a request that have arrived when a timeout is noticed are read: after a suspension
// of the process both are found at the same time, and closing the connection would lose the request.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.receive(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.prolong() {
		return c.receive(b)
	}
	return n, err
}

// prolong replaces a deadline that has passed by the header timeout if bytes have arrived and no request is active, once
// for each request.
func (c *callerConn) prolong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.prolonged || !c.unread() {
		return false
	}
	c.prolonged = true
	return c.Conn.SetReadDeadline(time.Now().Add(c.listener.headerTimeout())) == nil
}

// announceIdle returns the idle timeout that the response to the active request announces. The connection keeps to it
// whatever configuration comes into force.
func (c *callerConn) announceIdle() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = c.listener.idleTimeout()
	return c.announced
}

// SetReadDeadline replaces the timeouts of net/http by the configured ones while no request is active:
// the idle timeout if net/http sets none, and the header timeout if that is shorter.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		t = c.idleDeadline(t)
	}
	c.record.forgetTimeout()
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) idleDeadline(t time.Time) time.Time {
	now := time.Now()
	if c.awaitsNoRequest() {
		return now
	}
	if t.IsZero() {
		timeout := c.announced
		if timeout == 0 {
			timeout = c.listener.idleTimeout()
		}
		return now.Add(timeout + httputil.IdleSlack)
	}
	if limit := now.Add(c.listener.headerTimeout()); limit.Before(t) {
		return limit
	}
	return t
}

// callerConn returns the request's connection, or nil if it is not known.
func (c *callerRequest) callerConn() *callerConn {
	conn, _ := httputil.ConnOf(c.r).(*callerConn)
	return conn
}

// announceIdle announces in the header of the response for how long the connection stays open for another request.
func (c *callerRequest) announceIdle(header http.Header) {
	if conn := c.callerConn(); conn != nil {
		httputil.AnnounceIdle(header, c.r, conn.announceIdle())
	}
}
