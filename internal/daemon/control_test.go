package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
)

func newTestEngineClient(t *testing.T) *engineClient {
	client := newControlClient(metrics.NewSet(), "engines")
	t.Cleanup(client.CloseIdleConnections)
	return &engineClient{http: client}
}

// startControl answers each request to an engine's control interface with text after reading it, and closes or resets
// the connection.
func startControl(t *testing.T, text string, reset bool) core.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, text)
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return core.Target{Engine: "e", Addr: l.Addr().String()}
}

// startExporter returns an engine that exports a cache of some bytes.
func startExporter(t *testing.T, cacheBytes int) core.Target {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, cacheBytes))
	}))
	t.Cleanup(engine.Close)
	return core.Target{Engine: "from", Addr: engine.Listener.Addr().String()}
}

// Guards against a part of a response, or a response whose status is no HTTP status, that counts as the success of an
// order, a probe or a move of a cache.
func TestControlResponsesThatAreNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		reset bool
	}{
		"short":              {text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"},
		"short, reset":       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", true},
		"chunks without end": {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"},
		"unframed, reset":    {"HTTP/1.1 200 OK\r\n\r\n{", true},
		"000":                {text: "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}"},
		"+20":                {text: "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}"},
		"101":                {text: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n{}"},
		"100 only":           {text: "HTTP/1.1 100 Continue\r\n\r\n"},
		"999":                {text: "HTTP/1.1 999 Trouble\r\nContent-Length: 2\r\n\r\n{}"},
	} {
		t.Run(name, func(t *testing.T) {
			client, target := newTestEngineClient(t), startControl(t, c.text, c.reset)
			require.Error(t, client.sendOrder(t.Context(), core.SendOrder{Target: target}), "order")
			require.Error(t, client.fetchLoad(t.Context(), target).Err, "probe")
			require.Error(t, client.moveChatCache(t.Context(), core.MoveChat{From: target, To: target}), "export")
			require.Error(t, client.moveChatCache(t.Context(), core.MoveChat{From: startExporter(t, 10), To: target}), "import")
		})
	}
	whole := startControl(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false)
	client := newTestEngineClient(t)
	require.NoError(t, client.sendOrder(t.Context(), core.SendOrder{Target: whole}))
	require.NoError(t, client.fetchLoad(t.Context(), whole).Err)
	require.NoError(t, client.moveChatCache(t.Context(), core.MoveChat{From: startExporter(t, 10), To: whole}))
	stale := startControl(t, "HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\nst", true)
	require.ErrorIs(t, client.sendOrder(t.Context(), core.SendOrder{Target: stale}), errStaleFence)
}

// Guards against the success of an import that the engine answered before it had read the cache, with a part of a
// response and a reset.
func TestImportThatIsResetWhileItIsWritten(t *testing.T) {
	target := core.Target{Engine: "to", Addr: serveRaw(t, "HTTP/1.1 200 OK\r\n\r\npart", false)}
	from := startExporter(t, 16<<20)
	for range 5 {
		require.Error(t, newTestEngineClient(t).moveChatCache(t.Context(), core.MoveChat{From: from, To: target}))
	}
}

// Guards against a cache above the limit of which a part is imported as if it were whole.
func TestCacheAboveTheLimitIsNotImported(t *testing.T) {
	var imported atomic.Int64
	to := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		imported.Add(n)
	}))
	defer to.Close()
	target := core.Target{Engine: "to", Addr: to.Listener.Addr().String()}
	client := newTestEngineClient(t)
	require.NoError(t, client.moveChatCache(t.Context(), core.MoveChat{From: startExporter(t, maxCacheBytes), To: target}))
	require.EqualValues(t, maxCacheBytes, imported.Load())
	require.Error(t, client.moveChatCache(t.Context(), core.MoveChat{From: startExporter(t, maxCacheBytes+1), To: target}))
	require.EqualValues(t, maxCacheBytes, imported.Load())
}

// startEnding returns an engine that answers one request and ends as a kill does: the kernel closes the listener and then the
// connection.
func startEnding(t *testing.T, text string) core.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, text)
		}
		_ = l.Close()
		_ = conn.Close()
	}()
	return core.Target{Engine: "ending", Addr: l.Addr().String()}
}

// Guards against a part of a cache that is imported as if it were whole, because the process of its engine ended while it was
// exported, and against an import that such an engine has not confirmed to its end.
func TestCacheOfAnEngineThatHasEndedIsNotImported(t *testing.T) {
	var imports atomic.Int64
	to := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { imports.Add(1) }))
	defer to.Close()
	const part = "HTTP/1.1 200 OK\r\n\r\npart"
	client := newTestEngineClient(t)
	target := core.Target{Engine: "to", Addr: to.Listener.Addr().String()}
	require.ErrorIs(t, client.moveChatCache(t.Context(), core.MoveChat{From: startEnding(t, part), To: target}), upstream.ErrUnmarkedEnd)
	require.Zero(t, imports.Load())
	require.ErrorIs(t, client.moveChatCache(t.Context(), core.MoveChat{From: startExporter(t, 10), To: startEnding(t, part)}), upstream.ErrUnmarkedEnd)
	whole := startControl(t, part, false)
	require.NoError(t, client.moveChatCache(t.Context(), core.MoveChat{From: whole, To: target}))
	require.EqualValues(t, 1, imports.Load())
}
