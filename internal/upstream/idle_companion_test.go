package upstream_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// Guards against a whole response without length or chunks that counts as broken, because its engine closes connections on which no
// request comes, while the response pauses before its end.
func TestResponseOfAnEngineThatClosesIdleConnectionsIsWhole(t *testing.T) {
	const idle = 100 * time.Millisecond
	addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
		_ = conn.SetReadDeadline(time.Now().Add(idle))
		if !readRequest(r) {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"+unmarkedEvents)
		time.Sleep(4 * idle)
	})
	p := upstream.NewPool(nil)
	t.Cleanup(p.Close)
	body, err := exchange(t, p, addr, 3)
	require.NoError(t, err)
	require.Equal(t, unmarkedEvents, body)
}
