package daemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
)

// endlessBytes is where an engine of these tests ends what it would send without end.
const endlessBytes = 64 << 20

// rawEngine answers with the bytes that write sends on the connection.
func rawEngine(write func(c net.Conn, r *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// An unread body would be left in the connection.
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		write(conn, r)
		_ = conn.Close()
	})
}

func startWithEngine(t *testing.T, handler http.Handler) (base string) {
	engine := httptest.NewServer(handler)
	t.Cleanup(engine.Close)
	f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: handler, EngineAddrs: []string{engine.Listener.Addr().String()}})
	return "http://" + f.Nodes[0].Settings.CallerAddr
}

// Guards against an engine whose head without end is kept in memory: net/http accepts 10 MiB of each response.
func TestHeadWithoutEnd(t *testing.T) {
	padding := "X-Padding: " + strings.Repeat("x", 1000) + "\r\n"
	base := startWithEngine(t, rawEngine(func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat(padding, 1000)+"Content-Length: 2\r\n\r\nok")
	}))
	for _, c := range []struct{ method, path, body string }{
		{http.MethodGet, "/v1/services/orders/x", ""},
		{http.MethodPost, "/v1/chat/completions", chatBody},
		{http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, "true", "false", 1)},
	} {
		status, outcome, _ := send(t, c.method, base+c.path, c.body, "Authorization", "Bearer "+fleettest.APIKey)
		require.GreaterOrEqual(t, status, 500, c.path)
		require.Equal(t, "unknown", outcome, c.path)
	}
}

// Guards against an engine whose text without end is kept for a continuation at another engine until the memory is
// used up.
func TestStreamOfTextWithoutEnd(t *testing.T) {
	var sent atomic.Int64
	base := startWithEngine(t, rawEngine(func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		event := `data: {"id":"1","choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", 10_000) + `"}}]}` + "\n\n"
		for sent.Load() < endlessBytes {
			n, err := io.WriteString(c, event)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	_, _, body := send(t, http.MethodPost, base+"/v1/chat/completions", chatBody, "Authorization", "Bearer "+fleettest.APIKey)
	require.Contains(t, body, "event: error")
	require.Less(t, len(body), 4<<20)
	require.Less(t, sent.Load(), int64(endlessBytes))
}

// Guards against an engine whose body without end is kept until it is complete.
func TestUnstreamedBodyWithoutEnd(t *testing.T) {
	base := startWithEngine(t, rawEngine(func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: text/plain\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		part := strings.Repeat("x", 1<<20)
		for range 12 {
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	}))
	status, outcome, _ := send(t, http.MethodPost, base+"/v1/chat/completions", strings.Replace(chatBody, "true", "false", 1), "Authorization", "Bearer "+fleettest.APIKey)
	require.GreaterOrEqual(t, status, 500)
	require.Equal(t, "unknown", outcome)
}
