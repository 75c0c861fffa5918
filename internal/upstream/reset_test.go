package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// Guards against a response that was reset and counts as whole because something else looked at the connection first.
func TestResetIsNoEndAfterALookAtTheConnection(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	reset := make(chan struct{})
	addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
		if !readRequest(r) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"+events)
		<-reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	p := upstream.NewPool(nil)
	t.Cleanup(p.Close)
	conn := getConn(ctx, t, p, addr)
	x, err := p.Do(ctx, conn, &upstream.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}}, ownerByID)
	require.NoError(t, err)
	t.Cleanup(x.Abort)
	buffer := make([]byte, len(events))
	_, err = io.ReadFull(x, buffer)
	require.NoError(t, err)
	require.False(t, conn.AwaitsRead())
	close(reset)
	require.Eventually(t, conn.AwaitsRead, 5*time.Second, time.Millisecond)
	_, err = x.Read(buffer)
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
}
