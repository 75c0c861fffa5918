package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

const unmarkedEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Guards against a response without length or chunks that counts as whole although its engine's process ended within it.
func TestEndOfTheProcessIsNoEndOfTheResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if readRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"+unmarkedEvents)
		}
		// The kernel closes the sockets of a process that ends in this order.
		_ = l.Close()
		_ = conn.Close()
	}()
	p := upstream.NewPool(nil)
	t.Cleanup(p.Close)
	_, err = exchange(t, p, l.Addr().String(), 3)
	require.ErrorIs(t, err, upstream.ErrUnmarkedEnd)
}

// Guards against a whole response without length or chunks that is given up, and against connections that are opened only to confirm its
// end.
func TestResponseThatEndsWithItsConnectionIsWhole(t *testing.T) {
	const exchanges = 5
	var opened atomic.Int64
	addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
		opened.Add(1)
		if readRequest(r) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=60\r\n\r\n"+unmarkedEvents)
		}
	})
	p := upstream.NewPool(nil)
	t.Cleanup(p.Close)
	for range exchanges {
		body, err := exchange(t, p, addr, 3)
		require.NoError(t, err)
		require.Equal(t, unmarkedEvents, body)
	}
	require.Equal(t, 1, p.IdleCount())
	require.LessOrEqual(t, opened.Load(), int64(exchanges+1))
}

// Guards against an end that is confirmed after the request's time.
func TestEndIsConfirmedWithinTheTimeOfTheRequest(t *testing.T) {
	addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"+unmarkedEvents)
		}
	})
	var dials atomic.Int64
	p := upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	x, err := p.Do(ctx, getConn(ctx, t, p, addr), &upstream.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}, ownerByID)
	require.NoError(t, err)
	t.Cleanup(x.Abort)
	_, err = io.ReadAll(x)
	require.ErrorIs(t, err, upstream.ErrUnmarkedEnd)
}

// Guards against a response without length or chunks that counts as whole although its engine's process ended within it, and another
// process has the address by the time at which that is noticed.
func TestNextProcessIsNoEndOfTheResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accept := func() net.Conn {
		conn, err := l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	head := make(chan net.Conn)
	go func() {
		conn := accept()
		if readRequest(bufio.NewReader(conn)) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"+unmarkedEvents)
		}
		head <- conn
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	p := upstream.NewPool(nil)
	t.Cleanup(p.Close)
	x, err := p.Do(ctx, getConn(ctx, t, p, l.Addr().String()), &upstream.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}, ownerByID)
	require.NoError(t, err)
	t.Cleanup(x.Abort)
	_, err = io.ReadFull(x, make([]byte, len(unmarkedEvents)))
	require.NoError(t, err)
	response, companion := <-head, accept()
	x.AwaitCompanion()
	// The listener stands for that of the next process.
	require.NoError(t, companion.Close())
	require.NoError(t, response.Close())
	_, err = io.ReadAll(x)
	require.ErrorIs(t, err, upstream.ErrUnmarkedEnd)
}

// Guards against an end that counts as confirmed because the request's time is over before it could be.
func TestEndIsNotConfirmedByTheEndOfTheRequest(t *testing.T) {
	addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"+unmarkedEvents)
		}
	})
	p := upstream.NewPool(nil)
	t.Cleanup(p.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	x, err := p.Do(ctx, getConn(ctx, t, p, addr), &upstream.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}, ownerByID)
	require.NoError(t, err)
	t.Cleanup(x.Abort)
	_, err = io.ReadFull(x, make([]byte, len(unmarkedEvents)))
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(x)
	require.Error(t, err)
}
