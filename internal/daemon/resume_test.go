package daemon_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
)

// Guards against a response that is no event stream in the middle of a stream that broke off.
func TestStreamIsNotResumedByAnotherType(t *testing.T) {
	const first = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	var breaking atomic.Bool
	var attempts atomic.Int32
	engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !breaking.Load() {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, first+"data: [DONE]\n\n")
			return
		}
		if attempts.Add(1) == 1 {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, first)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{\"error\":\n\n\"lost\"}\n\n")
	})
	var addrs []string
	for range 3 {
		server := httptest.NewServer(engine)
		defer server.Close()
		addrs = append(addrs, server.Listener.Addr().String())
	}
	f := fleettest.Start(t, fleettest.Options{Instances: 1, EngineAddrs: addrs})
	client := f.Client(f.Nodes[0])
	// Each attempt adds a tenth to the retry budget, which starts empty.
	for range 40 {
		client.Chat(context.Background(), "warm", request("warm"))
	}
	breaking.Store(true)
	status, _, body := send(t, http.MethodPost, "http://"+f.Nodes[0].Settings.CallerAddr+"/v1/chat/completions", chatBody, "Authorization", "Bearer "+fleettest.APIKey)
	require.Equal(t, 200, status)
	require.GreaterOrEqual(t, attempts.Load(), int32(2))
	require.Regexp(t, `^data: \{"choices":\[\{"delta":\{"content":"x"\}\}\]\}\n\nevent: error\ndata: \{.*"stream_lost".*\}\n\n$`, body)
}
