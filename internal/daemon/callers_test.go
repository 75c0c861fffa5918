package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
	"github.com/bilberrywell/bilberrywell/internal/peer"
	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
)

const chatBody = `{"model":"model","stream":true,"messages":[{"role":"user","content":"q"}]}`

// send sends a request and returns status, outcome header and body.
func send(t *testing.T, method, url, body string, header ...string) (int, string, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("X-Bilberry-Outcome"), string(answer)
}

// Guards against a malformed or unauthorized request that is served, or refused without the
// status and the outcome that tell the caller why.
func TestRefusals(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Instances: 1, Engines: 1, Services: 1})
	s := f.Nodes[0].Settings
	chat, order := "http://"+s.CallerAddr+"/v1/chat/completions", "http://"+s.CallerAddr+"/v1/services/orders/orders"
	key := []string{"Authorization", "Bearer " + fleettest.APIKey}
	cases := []struct {
		name, url, body string
		header          []string
		status          int
	}{
		{"bad JSON", chat, `{"model":`, key, 400},
		{"no messages", chat, `{"model":"model"}`, key, 400},
		{"oversized body", chat, strings.Repeat(" ", s.MaxRequestBodyBytes+1), key, 413},
		{"unknown model", chat, strings.Replace(chatBody, "model\",", "other\",", 1), key, 404},
		{"unknown key", chat, chatBody, []string{"Authorization", "Bearer other"}, 401},
		{"no key", chat, chatBody, nil, 401},
		{"unknown path", "http://" + s.CallerAddr + "/v2", "", key, 404},
		{"unknown service", "http://" + s.CallerAddr + "/v1/services/none/x", "", key, 404},
		{"missing idempotency key", order, "{}", key, 400},
		{"long idempotency key", order, "{}", append([]string{"Idempotency-Key", strings.Repeat("k", 256)}, key...), 400},
		{"admin without secret", "http://" + s.AdminAddr + "/admin/drain", "", nil, 401},
		{"slash in the service's name", "http://" + s.CallerAddr + "/v1/services/orders%2Fx/orders", "{}", key, 404},
	}
	for _, c := range cases {
		status, outcome, body := send(t, http.MethodPost, c.url, c.body, c.header...)
		require.Equal(t, c.status, status, "%s: %s", c.name, body)
		require.Equal(t, "not_run", outcome, c.name)
	}
	status, _, _ := send(t, http.MethodPost, chat, chatBody, "Authorization", "Bearer "+fleettest.APIKey, "X-Long", strings.Repeat("x", 2*s.MaxHeaderBytes))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	status, _, _ = send(t, http.MethodGet, "http://"+s.PeerAddr+peer.Path, "")
	require.Equal(t, http.StatusUnauthorized, status)
	require.Empty(t, f.Engines[0].Log())
	require.Empty(t, f.Services[0].Log().Runs)
}

// Guards against a path that the router decodes before it sends the call to a plain service.
func TestServicePathIsUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/load" {
			seen <- r.RequestURI
		}
	})})
	url := "http://" + f.Nodes[0].Settings.CallerAddr + "/v1/services/orders/a%2Fb/c%20d/%3F?x=%2F"
	status, _, body := send(t, http.MethodGet, url, "", "Authorization", "Bearer "+fleettest.APIKey)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "/a%2Fb/c%20d/%3F?x=%2F", <-seen)
}

// Guards against a non-idempotent call that the router or net/http sends again after the service
// ran it and closed the connection without a response.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Instances: 1, Services: 1})
	once := 1
	for _, key := range []string{"k1", "k2"} {
		f.Services[0].SetFault(loseAnswer(once))
		result := f.Client(f.Nodes[0]).Call(context.Background(), http.MethodPost, "/v1/services/orders/orders", key, []byte("{}"))
		require.Equal(t, callersim.Unknown, result.Kind, result.Detail)
		again := f.Client(f.Nodes[0]).Call(context.Background(), http.MethodPost, "/v1/services/orders/orders", key, []byte("{}"))
		require.Equal(t, callersim.Unknown, again.Kind, again.Detail)
		require.Equal(t, 1, f.Services[0].Log().Counts[key])
	}
}

// Guards against a response that is cut off at the service but looks complete to the caller.
func TestBrokenPlainAnswerIsCutOff(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Instances: 1, ServiceHandler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})})
	r, err := http.NewRequest(http.MethodGet, "http://"+f.Nodes[0].Settings.CallerAddr+"/v1/services/orders/x", nil)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+fleettest.APIKey)
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	require.Error(t, err)
}

// Guards against a stream that ends without its end marker and is forwarded as complete, against
// a response to another attempt that reaches the caller, and against an engine's connection that
// stays open without data.
func TestFaultyStreams(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Instances: 1, Engines: 3})
	client, ctx, once := f.Client(f.Nodes[0]), context.Background(), 1
	// Each attempt adds a tenth to the retry budget, which starts empty.
	for range 40 {
		require.Equal(t, callersim.Complete, client.Chat(ctx, "warm", request("warm")).Kind)
	}
	faults := []struct {
		name  string
		fault enginesim.Fault
	}{
		{"ends without marker", enginesim.Fault{EndWithoutDone: &enginesim.StreamCut{After: 3, Times: once}}},
		{"breaks", enginesim.Fault{BreakAfter: &enginesim.StreamCut{After: 3, Times: once}}},
		{"crossed", enginesim.Fault{WrongAttemptID: &once}},
		{"silent", enginesim.Fault{Freeze: true}},
	}
	for _, c := range faults {
		name, fault := c.name, c.fault
		for _, engine := range f.Engines {
			engine.SetFault(fault)
		}
		result := client.Chat(ctx, name, request(name))
		if result.Kind != callersim.Complete {
			require.Contains(t, result.Detail, "error", name)
		}
		require.NotEqual(t, callersim.WrongAnswer, result.Kind, "%s: %s", name, result.Detail)
		for _, engine := range f.Engines {
			engine.SetFault(enginesim.Fault{EndWithoutDone: &enginesim.StreamCut{}, BreakAfter: &enginesim.StreamCut{}, WrongAttemptID: new(int)})
		}
		require.Equal(t, callersim.Complete, client.Chat(ctx, name+" again", request(name+" again")).Kind, name)
	}
	_, _, metrics := send(t, http.MethodGet, "http://"+f.Nodes[0].Settings.AdminAddr+"/metrics", "")
	require.NotContains(t, metrics, "bilberry_crossed_answers_total 0\n")
}

func request(text string) enginesim.Request {
	message := enginesim.Message{Role: "user", Content: enginesim.Content(text)}
	return enginesim.Request{Model: "model", Stream: true, Messages: []enginesim.Message{message}}
}

// Guards against a stream that continues at the engine after its caller has disconnected.
func TestCallerLeavingCancelsTheEngine(t *testing.T) {
	canceled := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(canceled)
	}))
	defer engine.Close()
	f := fleettest.Start(t, fleettest.Options{Instances: 1, EngineAddrs: []string{engine.Listener.Addr().String()}})
	conn, err := net.Dial("tcp", f.Nodes[0].Settings.CallerAddr)
	require.NoError(t, err)
	r, err := http.NewRequest(http.MethodPost, "http://x/v1/chat/completions", strings.NewReader(chatBody))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+fleettest.APIKey)
	require.NoError(t, r.Write(conn))
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	<-canceled
}

func loseAnswer(times int) servicesim.Fault { return servicesim.Fault{LoseAnswer: &times} }
