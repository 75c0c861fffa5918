package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

// orderedConn decides which side, the writer or the reader, meets the end of the connection first.
type orderedConn struct {
	net.Conn
	writerFirst bool
	once        sync.Once
	// first is closed once that side has met the end.
	first chan struct{}
}

// Write writes more than the buffers of both ends hold, so that it meets the end. If the reader is to meet it first, a
// part of the request is written before.
func (c *orderedConn) Write(b []byte) (int, error) {
	if c.writerFirst {
		n, err := c.Conn.Write(b)
		c.once.Do(func() { close(c.first) })
		return n, err
	}
	n, err := c.Conn.Write(b[:4<<10])
	if err != nil {
		return n, err
	}
	<-c.first
	m, err := c.Conn.Write(b[n:])
	return n + m, err
}

func (c *orderedConn) Read(b []byte) (int, error) {
	if c.writerFirst {
		<-c.first
	}
	n, err := c.Conn.Read(b)
	if err != nil && !c.writerFirst {
		c.once.Do(func() { close(c.first) })
	}
	return n, err
}

// SetWriteDeadline also ends a write that waits for the reader.
func (c *orderedConn) SetWriteDeadline(at time.Time) error {
	err := c.Conn.SetWriteDeadline(at)
	c.once.Do(func() { close(c.first) })
	return err
}

// readEarlyResponse sends a request of 16 MiB and returns the body of its response.
func readEarlyResponse(t *testing.T, addr, method string, order string) (body string, err error) {
	var wrapped *orderedConn
	p := upstream.NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil || order == "either side first" {
			return c, err
		}
		wrapped = &orderedConn{Conn: c, writerFirst: order == "writer first", first: make(chan struct{})}
		return wrapped, nil
	})
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	x, err := p.Do(ctx, getConn(ctx, t, p, addr), &upstream.Request{
		Method: method, Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20),
	}, ownerByID)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(x)
		body = string(data)
		if err == nil {
			x.Finish()
		} else {
			x.Abort()
		}
	}
	if wrapped != nil {
		// A writer that waits for a reader which has no reason to read further.
		wrapped.once.Do(func() { close(wrapped.first) })
	}
	return body, err
}

// Guards against a part of a response that is taken as whole because its connection was reset while the request was
// being written, whichever side meets the reset, and against a whole response that counts as broken for that.
func TestResponseBeforeTheRequestIsWritten(t *testing.T) {
	const ok, own = "HTTP/1.1 200 OK\r\nId: mine\r\n", "Id: mine\r\n"
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		method string
		// segments are written one by one before the connection ends.
		segments []string
		// halfClosed reports whether the engine ends its side before the reset.
		halfClosed bool
		want       string
	}{
		"unframed":                      {segments: []string{ok + "\r\npart"}},
		"unframed in segments":          {segments: []string{ok, "\r\n", "pa", "rt"}},
		"unframed without a body":       {segments: []string{ok + "\r\n"}},
		"unframed with close":           {segments: []string{ok + "Connection: close\r\n\r\npart"}},
		"unframed of HTTP/1.0":          {segments: []string{"HTTP/1.0 200 OK\r\n" + own + "\r\npart"}},
		"unframed stream":               {segments: []string{ok + "Content-Type: text/event-stream\r\n\r\n", events}},
		"unframed failure":              {segments: []string{"HTTP/1.1 500 Failed\r\n" + own + "\r\nfail"}},
		"unframed after an interim one": {segments: []string{"HTTP/1.1 100 Continue\r\n\r\n", ok + "\r\npart"}},
		"head":                          {segments: []string{ok}},
		"nothing":                       {},
		"short":                         {segments: []string{ok + "Content-Length: 9\r\n\r\npart"}},
		"chunks without end":            {segments: []string{ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\npart\r\n", "0\r\n"}},
		"ended side":                    {segments: []string{ok + "\r\nok"}, halfClosed: true, want: "ok"},
		"ended side in segments":        {segments: []string{ok, "\r\n", "o", "k"}, halfClosed: true, want: "ok"},
		"ended side of HTTP/1.0":        {segments: []string{"HTTP/1.0 200 OK\r\n" + own + "\r\nok"}, halfClosed: true, want: "ok"},
		"ended side of a short one":     {segments: []string{ok + "Content-Length: 9\r\n\r\npart"}, halfClosed: true},
		"length":                        {segments: []string{ok + "Content-Length: 2\r\n\r\nok"}, want: "ok"},
		"length with close":             {segments: []string{ok + "Connection: close\r\nContent-Length: 2\r\n\r\n", "ok"}, want: "ok"},
		"chunked":                       {segments: []string{ok + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", "0\r\n\r\n"}, want: "ok"},
		"no content":                    {segments: []string{"HTTP/1.1 204 No Content\r\n" + own + "\r\n"}, want: "none"},
		"not modified":                  {segments: []string{"HTTP/1.1 304 Not Modified\r\n" + own + "\r\n"}, want: "none"},
		"HEAD":                          {method: "HEAD", segments: []string{ok + "\r\n"}, want: "none"},
		"HEAD with a length":            {method: "HEAD", segments: []string{ok + "Content-Length: 9\r\n\r\n"}, want: "none"},
	} {
		if c.method == "" {
			c.method = http.MethodPost
		}
		for _, order := range []string{"writer first", "reader first", "either side first"} {
			t.Run(name+" "+order, func(t *testing.T) {
				addr := startEngine(t, func(conn net.Conn, r *bufio.Reader) {
					_, _ = r.ReadString('\n')
					for _, segment := range c.segments {
						_, _ = io.WriteString(conn, segment)
					}
					if c.halfClosed {
						_ = conn.(*net.TCPConn).CloseWrite()
					}
					_ = conn.(*net.TCPConn).SetLinger(0)
				})
				got, err := readEarlyResponse(t, addr, c.method, order)
				if c.want == "" {
					require.Error(t, err, "after %q", got)
					require.NotErrorIs(t, err, upstream.ErrUnsent)
					return
				}
				require.NoError(t, err)
				require.Equal(t, strings.TrimPrefix(c.want, "none"), got)
			})
		}
	}
}

// Guards against bytes of another request where the rest of a body is due whose response came early, and against a
// connection that is given up although the engine reads that rest.
func TestNextRequestFollowsTheRestOfTheBody(t *testing.T) {
	const bodyBytes = 16 << 20
	answered, read := make(chan struct{}), make(chan int64, 3)
	addr := startEngine(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, ownResponse); err != nil {
				return
			}
			<-answered
			n, _ := io.Copy(io.Discard, req.Body)
			read <- n
		}
	})
	p := upstream.NewPool(nil)
	defer p.Close()
	_, err := exchange(t, p, addr, bodyBytes)
	require.NoError(t, err)
	require.Zero(t, p.IdleCount(), "the body is still being written")
	close(answered)
	require.EqualValues(t, bodyBytes, <-read)
	require.Eventually(t, func() bool { return p.IdleCount() == 1 }, 5*time.Second, time.Millisecond)
	for range 2 {
		_, err = exchange(t, p, addr, 20_000)
		require.NoError(t, err)
		require.EqualValues(t, 20_000, <-read)
	}
}
