package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
)

// connRecord is what is known of a caller's connection for the log: what it has carried, and how it ended.
type connRecord struct {
	// requests is the number of requests whose header has arrived since the connection was opened.
	requests atomic.Int64
	// received and sent are the bytes since the connection was last idle, idleSince is when that was, in Unix
	// nanoseconds.
	received, sent, idleSince atomic.Int64
	// held is the request whose handler has begun and has not returned, or nil.
	held atomic.Pointer[callerRequest]
	// readErr is the error of the last read, and writeErr that of the last write, or nil.
	readErr, writeErr atomic.Pointer[error]
}

// becameIdle begins a new period.
func (u *connRecord) becameIdle() {
	u.received.Store(0)
	u.sent.Store(0)
	u.idleSince.Store(time.Now().UnixNano())
}

// forgetTimeout removes an error that a new read deadline ends. net/http ends its own reads in this way.
func (u *connRecord) forgetTimeout() {
	if err := u.readErr.Load(); err != nil && errors.Is(*err, os.ErrDeadlineExceeded) {
		u.readErr.Store(nil)
	}
}

// receive reads from the connection.
func (c *callerConn) receive(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.record.received.Add(int64(n))
	setError(&c.record.readErr, err)
	return n, err
}

// setError stores an error, or nil.
func setError(to *atomic.Pointer[error], err error) {
	switch {
	case err != nil:
		to.Store(&err)
	case to.Load() != nil:
		to.Store(nil)
	}
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.record.sent.Add(int64(n))
	setError(&c.record.writeErr, err)
	return n, err
}

// What a connection held when it ended.
const (
	heldNothing = "nothing"
	// heldUnread are bytes that the gateway has not read, heldPart a request that is not read completely.
	heldUnread  = "unread"
	heldPart    = "part"
	heldRequest = "request"
)

// held returns what the connection holds.
func (c *callerConn) held() string {
	switch {
	case c.record.held.Load() != nil:
		return heldRequest
	case c.record.sent.Load() == 0 && c.record.received.Load() > 0:
		return heldPart
	case c.unread():
		return heldUnread
	}
	return heldNothing
}

// unread reports whether bytes have arrived that were not read.
func (c *callerConn) unread() bool {
	pending, err := httputil.Peek(c.Conn)
	return err == nil && pending.Bytes
}

// endedBy returns which side ended the connection, with the error that shows it.
func (u *connRecord) endedBy() (string, error) {
	for _, stored := range []*atomic.Pointer[error]{&u.readErr, &u.writeErr} {
		if err := stored.Load(); err != nil {
			if errors.Is(*err, os.ErrDeadlineExceeded) || errors.Is(*err, net.ErrClosed) {
				return "gateway", *err
			}
			return "caller", *err
		}
	}
	return "gateway", nil
}

// connEnded counts the end of a caller's connection, and logs it if the connection held anything.
func (g *Gateway) connEnded(c *callerConn, held string) {
	by, err := c.record.endedBy()
	g.metrics.set.GetOrCreateCounter(fmt.Sprintf("bilberry_caller_connections_ended_total{by=%q,held=%q}", by, held)).Inc()
	if held == heldNothing {
		return
	}
	fields := []any{"caller", c.RemoteAddr().String(), "by", by, "held", held, "requests", c.record.requests.Load(),
		"received", c.record.received.Load(), "sent", c.record.sent.Load(), "error", errorText(err)}
	if idle := c.record.idleSince.Load(); idle > 0 {
		fields = append(fields, "since_idle_ms", time.Since(time.Unix(0, idle)).Milliseconds())
	}
	if r := c.record.held.Load(); r != nil {
		fields = append(fields, "request", r.callHead.ID, "header_written", r.headerWritten.Load())
	}
	klog.InfoS("caller_connection_ended", fields...)
}

// errorText returns the text of the error that ended a connection.
func errorText(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, io.EOF):
		return "closed"
	}
	return err.Error()
}

// hold records that the request's connection holds it until release. A handler that panics does not release it.
func (c *callerRequest) hold() (release func()) {
	conn := c.callerConn()
	if conn == nil {
		return func() {}
	}
	conn.record.held.Store(c)
	return func() { conn.record.held.Store(nil) }
}

// recordPanic counts and logs a panic of a request's handler, which net/http recovers: the request's connection ends without a
// response.
func (g *Gateway) recordPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		g.metrics.set.GetOrCreateCounter("bilberry_handler_panics_total").Inc()
		klog.ErrorS(nil, "handler_panicked", "request", g.protocol.ReadCall(r.Header).ID, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}
