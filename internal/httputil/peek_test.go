package httputil

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an open connection that is taken for a closed one or for one with bytes to read, also past its deadline.
func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sender, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	conn, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(-time.Second)))

	_, err = Peek(conn)
	require.ErrorIs(t, err, syscall.EAGAIN)
	_, err = sender.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		arrived, err := Peek(conn)
		return arrived && err == nil
	}, 5*time.Second, time.Millisecond)
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, sender.Close())
	require.Eventually(t, func() bool {
		arrived, err := Peek(conn)
		return !arrived && !errors.Is(err, syscall.EAGAIN)
	}, 5*time.Second, time.Millisecond)
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	_, err = Peek(client)
	require.ErrorIs(t, err, errors.ErrUnsupported)
}

// Guards against a look at a connection that takes the error of a reset, so that its reader finds an orderly end.
func TestPeekLeavesTheResetToTheReader(t *testing.T) {
	for _, sent := range []string{"", "x"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		sender, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		conn, err := l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = sender.Write([]byte(sent))
		require.NoError(t, err)
		require.NoError(t, sender.(*net.TCPConn).SetLinger(0))
		require.NoError(t, sender.Close())
		require.Eventually(t, func() bool {
			arrived, err := Peek(conn)
			return arrived == (sent != "") && err == nil
		}, 5*time.Second, time.Millisecond)
		data, err := io.ReadAll(conn)
		require.Equal(t, sent, string(data))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}
