package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// countedEngine starts an engine that answers each request, and counts its connections.
func countedEngine(t *testing.T) (addr string, opened *atomic.Int32) {
	opened = new(atomic.Int32)
	addr = startEngine(t, func(c net.Conn, r *bufio.Reader) {
		opened.Add(1)
		for readRequest(r) {
			_, _ = io.WriteString(c, ownResponse)
		}
	})
	return addr, opened
}

// Guards against requests that are written to connections that were opened before the path to engines was lost.
func TestFlushedConnectionsAreNotUsedAgain(t *testing.T) {
	addr, opened := countedEngine(t)
	p := upstream.NewPool(nil)
	defer p.Close()
	open := getConn(t.Context(), t, p, addr)
	_, err := exchange(t, p, addr, 0)
	require.NoError(t, err)
	require.Equal(t, 1, p.IdleCount())
	p.Flush()
	require.Zero(t, p.IdleCount())
	p.Put(open, 0)
	require.Zero(t, p.IdleCount())
	for range 3 {
		_, err = exchange(t, p, addr, 0)
		require.NoError(t, err)
	}
	require.Equal(t, int32(3), opened.Load())
}

type singleUseConn struct{ *net.TCPConn }

func (singleUseConn) SingleUse() {}

// Guards against connections through a peer that go on to be used when the instance's own path is back.
func TestSingleUseConnectionsAreNotKept(t *testing.T) {
	addr, opened := countedEngine(t)
	p := upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return singleUseConn{conn.(*net.TCPConn)}, nil
	})
	defer p.Close()
	for range 3 {
		_, err := exchange(t, p, addr, 0)
		require.NoError(t, err)
		require.Zero(t, p.IdleCount())
	}
	require.Equal(t, int32(3), opened.Load())
}
