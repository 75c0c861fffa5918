package daemon_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
	"github.com/bilberrywell/bilberrywell/internal/settings"
)

// answerUnframed answers with neither a length nor chunks, so that the end of the connection ends the answer.
func answerUnframed(body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
		_ = conn.Close()
	})
}

// Guards against an answer without a length whose connection ended before its body and that counts as whole: the
// caller gets an empty success, which is also recorded as the outcome of a call that must not repeat.
func TestUnframedAnswerWithoutBody(t *testing.T) {
	engine := httptest.NewServer(answerUnframed(""))
	defer engine.Close()
	f := fleettest.Start(t, fleettest.Options{
		Instances: 1, ServiceHandler: answerUnframed(""), EngineAddrs: []string{engine.Listener.Addr().String()},
	})
	base := "http://" + f.Nodes[0].Settings.CallerAddr
	key := []string{"Authorization", "Bearer " + fleettest.APIKey}
	order := append([]string{"Idempotency-Key", "k"}, key...)
	for _, c := range []struct {
		method, path, body string
		header             []string
	}{
		{http.MethodGet, "/v1/services/orders/x", "", key},
		{http.MethodPost, "/v1/services/orders/orders", "{}", order},
		{http.MethodPost, "/v1/services/orders/orders", "{}", order},
		{http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, "true", "false", 1), key},
	} {
		status, outcome, body := send(t, c.method, base+c.path, c.body, c.header...)
		require.GreaterOrEqual(t, status, 500, "%s %s", c.method, c.path)
		require.Equal(t, "unknown", outcome, "%s %s: %s", c.method, c.path, body)
	}
	status, _, _ := send(t, http.MethodHead, base+"/v1/services/orders/x", "", key...)
	require.Equal(t, http.StatusOK, status)
}

// Guards against a whole answer without a length that counts as broken.
func TestUnframedAnswerIsForwarded(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: answerUnframed("whole")})
	status, _, body := send(t, http.MethodGet, "http://"+f.Nodes[0].Settings.CallerAddr+"/v1/services/orders/x", "", "Authorization", "Bearer "+fleettest.APIKey)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "whole", body)
}

// Guards against an answer without a length that is forwarded as whole although its connection was reset, because the
// write of a long request has met the error and the read finds only the end of the connection.
func TestUnframedAnswerResetWhileTheCallIsWritten(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{
		Instances:      1,
		AdjustSettings: func(s *settings.Settings) { s.MaxRequestBodyBytes = 16 << 20 },
		ServiceHandler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			// The rest of the call exceeds the buffers of both ends, so that its write blocks.
			time.Sleep(50 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}),
	})
	body := make([]byte, 16<<20)
	whole := 0
	for range 10 {
		r, err := http.NewRequest(http.MethodPut, "http://"+f.Nodes[0].Settings.CallerAddr+"/v1/services/orders/x", bytes.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+fleettest.APIKey)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		require.NoError(t, response.Body.Close())
		if err == nil && response.StatusCode == http.StatusOK {
			whole++
		}
	}
	require.Zero(t, whole, "of 10 answers")
}

// answerAndEnd answers with neither a length nor chunks and ends the engine as a kill does: the kernel closes the listener and the
// connection, which may come first.
func answerAndEnd(body string, connFirst bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+body)
		if connFirst {
			_ = conn.Close()
			time.Sleep(10 * time.Millisecond)
		}
		_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
		_ = conn.Close()
	})
}

// Guards against a part of an answer that counts as whole because the process of its engine ended within it, and against one that
// is recorded as the outcome of a call that must not repeat.
func TestUnframedAnswerOfAnEngineThatHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, body string
	}{
		"lookup":          {http.MethodGet, "/v1/services/orders/x", ""},
		"order":           {http.MethodPost, "/v1/services/orders/orders", "{}"},
		"unstreamed chat": {http.MethodPost, "/v1/chat/completions", strings.Replace(chatBody, "true", "false", 1)},
	} {
		for order, connFirst := range map[string]bool{", listener closed first": false, ", connection closed first": true} {
			t.Run(name+order, func(t *testing.T) {
				engine := httptest.NewServer(answerAndEnd("part", connFirst))
				defer engine.Close()
				f := fleettest.Start(t, fleettest.Options{
					Instances: 1, ServiceHandler: answerAndEnd("part", connFirst), EngineAddrs: []string{engine.Listener.Addr().String()},
				})
				for range 2 {
					r, err := http.NewRequest(c.method, "http://"+f.Nodes[0].Settings.CallerAddr+c.path, strings.NewReader(c.body))
					require.NoError(t, err)
					r.Header.Set("Authorization", "Bearer "+fleettest.APIKey)
					r.Header.Set("Idempotency-Key", "k")
					response, err := http.DefaultTransport.RoundTrip(r)
					if err != nil {
						continue
					}
					body, err := io.ReadAll(response.Body)
					require.NoError(t, response.Body.Close())
					if err == nil {
						require.NotEqual(t, http.StatusOK, response.StatusCode, "%q", body)
					}
				}
			})
		}
	}
}
