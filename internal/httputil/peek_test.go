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

// connPair returns the two sides of a connection.
func connPair(t *testing.T) (sender, receiver net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sender, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = sender.Close() })
	receiver, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = receiver.Close() })
	return sender, receiver
}

// awaitPending waits until want waits to be read.
func awaitPending(t *testing.T, conn net.Conn, want Pending) {
	require.Eventually(t, func() bool {
		pending, err := Peek(conn)
		return err == nil && pending == want
	}, 5*time.Second, time.Millisecond)
}

// Guards against an open connection that is taken for a closed one or for one with bytes to read, also past its deadline.
func TestPeek(t *testing.T) {
	sender, conn := connPair(t)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(-time.Second)))

	pending, err := Peek(conn)
	require.NoError(t, err)
	require.Equal(t, Pending{}, pending)
	_, err = sender.Write([]byte("x"))
	require.NoError(t, err)
	awaitPending(t, conn, Pending{Bytes: true})
	require.NoError(t, sender.Close())
	awaitPending(t, conn, Pending{Bytes: true, End: true})
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	awaitPending(t, conn, Pending{End: true})
	require.NoError(t, conn.Close())
	_, err = Peek(conn)
	require.ErrorIs(t, err, net.ErrClosed)
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	_, err = Peek(client)
	require.ErrorIs(t, err, errors.ErrUnsupported)
}

// Guards against a look at a connection that takes the error of a reset, so that its reader finds an orderly end.
func TestPeekLeavesTheResetToTheReader(t *testing.T) {
	for _, sent := range []string{"", "x"} {
		sender, conn := connPair(t)
		_, err := sender.Write([]byte(sent))
		require.NoError(t, err)
		require.NoError(t, sender.(*net.TCPConn).SetLinger(0))
		require.NoError(t, sender.Close())
		awaitPending(t, conn, Pending{Bytes: sent != "", End: true})
		data, err := io.ReadAll(conn)
		require.Equal(t, sent, string(data))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against an end that has waited to be read and counts as new.
func TestSinceLastSegment(t *testing.T) {
	sender, conn := connPair(t)
	require.NoError(t, sender.Close())
	awaitPending(t, conn, Pending{End: true})
	require.Eventually(t, func() bool {
		since, err := SinceLastSegment(conn)
		return err == nil && since >= 20*time.Millisecond
	}, 5*time.Second, time.Millisecond)
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	_, err := SinceLastSegment(client)
	require.ErrorIs(t, err, errors.ErrUnsupported)
}
