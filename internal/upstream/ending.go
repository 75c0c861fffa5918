package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// ErrUnmarkedEnd reports that a body with neither a length nor chunks has ended with its connection, and that the engine's process has
// ended or can't be reached: a process that ends closes its connections in the same way.
var ErrUnmarkedEnd = errors.New("upstream: the response ended with its connection, and the engine has gone")

// Framings of a response's body, which mark its end.
const (
	// NoBody: the response ends with its head, as that to a HEAD request does.
	NoBody     = "none"
	WithLength = "length"
	InChunks   = "chunks"
	// WithConnection: the body has neither a length nor chunks, and the end of the connection ends it.
	WithConnection = "connection"
)

// Framing returns how the end of the response's body is marked.
func (x *Exchange) Framing() string {
	switch {
	case x.Response.Body == http.NoBody:
		return NoBody
	case x.Response.ContentLength >= 0:
		return WithLength
	case len(x.Response.TransferEncoding) > 0:
		return InChunks
	}
	return WithConnection
}

// EndsWithConnection reports whether the response has a body that ends with the connection.
func (x *Exchange) EndsWithConnection() bool { return x.Framing() == WithConnection }

// exitTime is how long after the first one a process that ends closes its last connection, and its listener, at most.
const exitTime = 50 * time.Millisecond

// confirmEnd returns an error if the end of the connection may not be the end of the response: if the response has met a reset, or if another
// connection to the engine can't be opened, or ends too. That one serves a later request in place of the one that has ended.
func (x *Exchange) confirmEnd() error {
	if x.writeMetReset() {
		return io.ErrUnexpectedEOF
	}
	conn, err := x.takeCompanion()
	if conn == nil && err == nil {
		conn, err = x.openLasting()
	}
	if err != nil {
		return err
	}
	x.pool.giveBack(conn, x.idleShare)
	return nil
}

// takeCompanion returns the connection of the companion once it has outlasted the end of the response, nil without one, or ErrUnmarkedEnd.
func (x *Exchange) takeCompanion() (*Conn, error) {
	c := x.companion
	switch {
	case x.lateEnd:
		return nil, ErrUnmarkedEnd
	case c == nil:
		return nil, nil
	}
	x.companion = nil
	err := awaitExit(x.ctx)
	conn := c.stop()
	if err == nil && (c.processEnded || c.lateEnd || conn != nil && !conn.openAndEmpty()) {
		err = ErrUnmarkedEnd
	}
	if err != nil && conn != nil {
		conn.Close()
	}
	return conn, err
}

// openLasting opens a connection to the engine and returns it if it lasts, or ErrUnmarkedEnd.
func (x *Exchange) openLasting() (*Conn, error) {
	conn, err := x.pool.Open(x.ctx, x.conn.addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnmarkedEnd, err)
	}
	if err := AwaitLasting(x.ctx, conn.netConn); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// AwaitLasting waits for as long as a process that ends may take to close a connection. It returns nil if the connection is open then, or
// ErrUnmarkedEnd. A listener's queue takes connections until the process closes it, which resets them.
func AwaitLasting(ctx context.Context, conn net.Conn) error {
	if err := awaitExit(ctx); err != nil {
		return err
	}
	if !openAndEmpty(conn) {
		return ErrUnmarkedEnd
	}
	return nil
}

// awaitExit waits for exitTime. It returns the error of ctx if that ends before.
func awaitExit(ctx context.Context) error {
	timer := time.NewTimer(exitTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeMetReset reports whether the end of the connection that was read stands for a reset or a timeout: the kernel
// reports such an error once, and the write of the request may have met it. It ends the write.
func (x *Exchange) writeMetReset() bool {
	_ = x.conn.netConn.SetWriteDeadline(time.Now())
	<-x.written
	// EPIPE follows a reset after the engine has ended its side of the connection.
	return x.writeErr != nil && !errors.Is(x.writeErr, os.ErrDeadlineExceeded) && !errors.Is(x.writeErr, syscall.EPIPE)
}
