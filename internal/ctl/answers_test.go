package ctl_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/adminapi"
	"github.com/bilberrywell/bilberrywell/internal/enginesapi"
	"github.com/bilberrywell/bilberrywell/internal/whereapi"
)

// startRaw answers each request with text and closes or resets the connection.
func startRaw(t *testing.T, text string, reset bool) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, text)
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against a part of an instance's response, or one whose status is no HTTP status, that the tool shows as the
// answer or takes for a success.
func TestResponsesThatAreNoAnswer(t *testing.T) {
	const whole = `{"instance":"a","result":"sent"}`
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]struct {
		text  string
		reset bool
	}{
		"short":              {text: head + "Content-Length: 99\r\n\r\n" + whole},
		"short, reset":       {head + "Content-Length: 99\r\n\r\n" + whole, true},
		"chunks without end": {text: head + "Transfer-Encoding: chunked\r\n\r\n20\r\n" + whole + "\r\n"},
		"unframed, reset":    {head + "\r\n" + whole, true},
		"000":                {text: "HTTP/1.1 000 Trouble\r\nContent-Length: 32\r\n\r\n" + whole},
		"+20":                {text: "HTTP/1.1 +20 OK\r\nContent-Length: 32\r\n\r\n" + whole},
		"2xx":                {text: "HTTP/1.1 2xx OK\r\nContent-Length: 32\r\n\r\n" + whole},
		"101":                {text: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole},
		"100 only":           {text: "HTTP/1.1 100 Continue\r\n\r\n"},
		"999":                {text: "HTTP/1.1 999 Trouble\r\nContent-Length: 32\r\n\r\n" + whole},
	} {
		t.Run(name, func(t *testing.T) {
			addr, admin := startRaw(t, c.text, c.reset), &adminapi.Client{}
			_, err := admin.Status(t.Context(), addr)
			require.Error(t, err)
			require.Error(t, admin.Drain(t.Context(), addr), "of which only the status is used")
			_, err = whereapi.Ask(t.Context(), addr, whereapi.Request{Host: "h", Path: "/"})
			require.Error(t, err)
			_, err = enginesapi.Get(t.Context(), addr)
			require.Error(t, err)
		})
	}
	addr := startRaw(t, head+"Content-Length: 32\r\n\r\n"+whole, false)
	require.NoError(t, (&adminapi.Client{}).Drain(t.Context(), addr))
	_, err := whereapi.Ask(t.Context(), addr, whereapi.Request{Host: "h", Path: "/"})
	require.NoError(t, err)
	_, err = enginesapi.Get(t.Context(), addr)
	require.NoError(t, err)
}
