package httputil

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request without an answer that arrives while the process is suspended, and against a caller that sends a
// byte now and then and so keeps its connection.
func TestTimeoutOfAConnectionWithUnreadBytes(t *testing.T) {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{}
	l := KeepUnread(server, opened, time.Minute)
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", opened.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	read := func(sent string) error {
		if sent != "" {
			_, err := caller.Write([]byte(sent))
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				pending, err := Peek(conn.(*unreadConn).Conn)
				return err == nil && pending.Bytes
			}, 5*time.Second, time.Millisecond)
		}
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(-time.Second)))
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	for range 2 {
		server.ConnState(conn, http.StateIdle)
		require.ErrorIs(t, read(""), os.ErrDeadlineExceeded, "nothing has arrived")
		require.NoError(t, read("G"))
		require.ErrorIs(t, read("E"), os.ErrDeadlineExceeded, "prolonged twice")
		require.NoError(t, conn.SetReadDeadline(time.Time{}))
		_, err = conn.Read(make([]byte, 1))
		require.NoError(t, err)
		server.ConnState(conn, http.StateActive)
	}
	require.ErrorIs(t, read("T"), os.ErrDeadlineExceeded, "the server ends its own reads so")
}
