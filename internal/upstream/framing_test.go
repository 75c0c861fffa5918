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

// Guards against a log that doesn't tell how the end of a response was marked.
func TestFraming(t *testing.T) {
	for want, c := range map[string]struct{ method, raw string }{
		upstream.NoBody:         {"HEAD", "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n"},
		upstream.WithLength:     {"POST", ownResponse},
		upstream.InChunks:       {"POST", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		upstream.WithConnection: {"POST", "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nok"},
	} {
		addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
			if readRequest(r) {
				_, _ = io.WriteString(conn, c.raw)
			}
		})
		p := upstream.NewPool(nil)
		t.Cleanup(p.Close)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		t.Cleanup(cancel)
		x, err := p.Do(ctx, getConn(ctx, t, p, addr), &upstream.Request{Method: c.method, Target: "/x", Host: "h", Header: http.Header{}}, ownerByID)
		require.NoError(t, err)
		require.Equal(t, want, x.Framing())
		x.Abort()
	}
}
