package upstream_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// tornResponse is a response that is cut off after each of its bytes.
type tornResponse struct {
	head, body string
	// want is the body without its framing.
	want string
	// unframed reports whether the end of the connection ends the body.
	unframed bool
}

func tornResponses() map[string]tornResponse {
	const own = "Id: mine\r\nSignature: s\r\n"
	const chunks = "8\r\nabcdefgh\r\n10\r\n0123456789abcdef\r\n0\r\n"
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	text := strings.Repeat("0123456789", 80)
	// The carriage return of the last line is the last byte that fits into the read buffer.
	long := "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\nPadding: "
	long += strings.Repeat("x", 4095-len(long)) + "\r\n\r\n"
	return map[string]tornResponse{
		"length last":        {head: "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 800\r\n\r\n", body: text, want: text},
		"length first":       {head: "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n" + own + "\r\n", body: text, want: text},
		"bare line feeds":    {head: "HTTP/1.1 200 OK\nContent-Length: 2\nId: mine\nSignature: s\n\n", body: "ok", want: "ok"},
		"folded lines":       {head: "HTTP/1.1 200 OK\r\n" + own + "Note: a\r\n  b\r\n\tc\r\nContent-Length: 2\r\nNote: d\r\n \r\n\r\n", body: "ok", want: "ok"},
		"long head":          {head: long, body: "ok", want: "ok"},
		"chunked":            {head: "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n", body: chunks + "\r\n", want: "abcdefgh0123456789abcdef"},
		"trailers":           {head: "HTTP/1.1 200 OK\r\n" + own + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks + "Sum: 1\r\nMore: 2\r\n\r\n", want: "abcdefgh0123456789abcdef"},
		"unframed":           {head: "HTTP/1.1 200 OK\r\n" + own + "\r\n", body: text, want: text, unframed: true},
		"unframed 1.0":       {head: "HTTP/1.0 200 OK\r\n" + own + "\r\n", body: text, want: text, unframed: true},
		"stream":             {head: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n", body: "1e\r\n" + events + "\r\n0\r\n\r\n", want: events},
		"unframed stream":    {head: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + own + "\r\n", body: events, want: events, unframed: true},
		"no content":         {head: "HTTP/1.1 204 No Content\r\n" + own + "\r\n"},
		"not modified":       {head: "HTTP/1.1 304 Not Modified\r\n" + own + "Content-Length: 800\r\n\r\n"},
		"empty":              {head: "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 0\r\n\r\n"},
		"interim first":      {head: "HTTP/1.1 103 Early Hints\r\n" + own + "\r\nHTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\n\r\n", body: "ok", want: "ok"},
		"foreign first":      {head: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbadHTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\n\r\n", body: "ok", want: "ok"},
		"failure":            {head: "HTTP/1.1 500 Internal Server Error\r\n" + own + "Content-Length: 6\r\n\r\n", body: "failed", want: "failed"},
		"rejection":          {head: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + own + "Content-Length: 4\r\n\r\n", body: "full", want: "full"},
		"unnamed rejection":  {head: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n", body: "full", want: "full"},
		"unframed rejection": {head: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + own + "\r\n", body: "full", want: "full", unframed: true},
	}
}

// maxCuts bounds the bytes of a response after which it is cut off; the last ones count.
const maxCuts = 1000

// Guards against a response that is taken as whole although its head or body was cut off.
func TestResponseCutOffAtEachByte(t *testing.T) {
	for name, c := range tornResponses() {
		for _, reset := range []bool{false, true} {
			end := " closed"
			if reset {
				end = " reset"
			}
			t.Run(name+end, func(t *testing.T) {
				t.Parallel()
				raw := c.head + c.body
				var cut atomic.Int64
				addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
					if !readRequest(r) {
						return
					}
					_, _ = io.WriteString(conn, raw[:cut.Load()])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				for n := max(len(raw)-maxCuts, 0); n <= len(raw); n++ {
					cut.Store(int64(n))
					p := upstream.NewPool(nil)
					got, err := exchange(t, p, addr, 3)
					p.Close()
					switch {
					case n < len(c.head):
						require.ErrorIs(t, err, upstream.ErrBroken, "after %q", raw[:n])
						require.NotErrorIs(t, err, upstream.ErrUnsent)
					case c.unframed && !reset:
						require.NoError(t, err)
						require.Equal(t, raw[len(c.head):n], got)
					case c.unframed || n < len(raw):
						require.Error(t, err, "after %q", raw[:n])
					case !reset || err == nil:
						require.NoError(t, err)
						require.Equal(t, c.want, got)
					}
				}
			})
		}
	}
}
