package daemon

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// engineConn is a connection to an engine whose reads don't take a reset for the end of the connection. The kernel
// reports the error of a connection once. If a write meets it, the next read finds only the end, which would complete
// a response without a length.
type engineConn struct {
	net.Conn
	// mu is held while a write runs. writeErr is the error of the last write.
	mu       sync.Mutex
	writeErr error
	endOnce  sync.Once
	ended    chan struct{}
}

func newEngineConn(conn net.Conn) *engineConn {
	return &engineConn{Conn: conn, ended: make(chan struct{})}
}

// Write implements net.Conn. net/http closes a connection at the first failed write and loses a response that has
// arrived before. So a write that meets a reset returns once reads have met it too, or the connection is closed.
func (c *engineConn) Write(b []byte) (int, error) {
	n, err := c.write(b)
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		<-c.ended
	}
	return n, err
}

func (c *engineConn) write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.writeErr = err
	return n, err
}

// Close implements net.Conn.
func (c *engineConn) Close() error {
	c.end()
	return c.Conn.Close()
}

func (c *engineConn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// Read implements net.Conn. At the end of the connection it ends a running write to learn its error.
func (c *engineConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil {
		return n, nil
	}
	defer c.end()
	if err != io.EOF {
		return n, err
	}
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	// EPIPE follows a reset after the engine has ended its side of the connection.
	if c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded) && !errors.Is(c.writeErr, syscall.EPIPE) {
		return n, c.writeErr
	}
	return n, io.EOF
}
