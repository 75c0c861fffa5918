package daemon

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// orderedConn decides which side, the writer or the reader, meets the end of the connection first.
type orderedConn struct {
	net.Conn
	writerFirst bool
	written     int
	once        sync.Once
	// first is closed once that side has met the end.
	first chan struct{}
}

func (c *orderedConn) meet(err error) {
	if err != nil {
		c.once.Do(func() { close(c.first) })
	}
}

func (c *orderedConn) Write(b []byte) (int, error) {
	if !c.writerFirst && c.written > 64<<10 {
		<-c.first
	}
	n, err := c.Conn.Write(b)
	c.written += n
	if c.writerFirst {
		c.meet(err)
	}
	return n, err
}

func (c *orderedConn) Read(b []byte) (int, error) {
	if c.writerFirst {
		<-c.first
	}
	n, err := c.Conn.Read(b)
	if !c.writerFirst {
		c.meet(err)
	}
	return n, err
}

func (c *orderedConn) SetWriteDeadline(at time.Time) error {
	err := c.Conn.SetWriteDeadline(at)
	c.meet(io.EOF)
	return err
}

func (c *orderedConn) Close() error {
	c.meet(net.ErrClosed)
	return c.Conn.Close()
}

// serveRaw answers each connection with text and resets it, with the rest of the request unread.
func serveRaw(t *testing.T, text string, halfClosed bool) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, text)
			if halfClosed {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// readEarlyResponse sends a request of 16 MiB through an engine's transport and returns the body of its response.
func readEarlyResponse(t *testing.T, addr, order string) (string, error) {
	transport := newTransport()
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if order != "either side first" {
			c = &orderedConn{Conn: c, writerFirst: order == "writer first", first: make(chan struct{})}
		}
		return newEngineConn(c), nil
	}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/x", bytes.NewReader(make([]byte, 16<<20)))
	require.NoError(t, err)
	r.GetBody = nil
	res, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Guards against a part of a response that is taken as whole because its connection was reset while the request was
// being written, whichever side meets the reset, and against a whole response that is lost with the rest of the request.
func TestResponseBeforeTheRequestIsWritten(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		text       string
		halfClosed bool
		want       string
	}{
		"unframed":           {text: ok + "\r\npart"},
		"unframed, close":    {text: ok + "Connection: close\r\n\r\npart"},
		"unframed, HTTP/1.0": {text: "HTTP/1.0 200 OK\r\n\r\npart"},
		"unframed, no body":  {text: ok + "\r\n"},
		"unframed stream":    {text: ok + "Content-Type: text/event-stream\r\n\r\ndata: a\n\n"},
		"short":              {text: ok + "Content-Length: 9\r\n\r\npart"},
		"chunks without end": {text: ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		"ended side":         {text: ok + "\r\nok", halfClosed: true, want: "ok"},
		"length":             {text: ok + "Content-Length: 2\r\n\r\nok", want: "ok"},
		"chunked":            {text: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: "ok"},
	} {
		for _, order := range []string{"writer first", "reader first", "either side first"} {
			t.Run(name+" "+order, func(t *testing.T) {
				addr := serveRaw(t, c.text, c.halfClosed)
				got, err := readEarlyResponse(t, addr, order)
				if c.want == "" {
					require.Error(t, err, "after %q", got)
					return
				}
				require.NoError(t, err)
				require.Equal(t, c.want, got)
			})
		}
	}
}
