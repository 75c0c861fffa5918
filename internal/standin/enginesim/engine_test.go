package enginesim

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func conversation(text string) Request {
	return Request{Model: "m", Stream: true, Messages: []Message{{"system", "be brief"}, {"user", Content(text)}}}
}

// post sends a chat request over HTTP.
func post(t *testing.T, client *http.Client, url string, request Request, attempt string) (*http.Response, error) {
	body, err := json.Marshal(request)
	require.NoError(t, err)
	call, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(t, err)
	call.Header.Set(AttemptHeader, attempt)
	call.Header.Set(ChatHeader, "7")
	return client.Do(call)
}

// collect reads a stream and returns its text, its usage and whether it ended with [DONE].
func collect(body io.Reader) (text string, usage *Usage, done bool, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, _ := strings.CutPrefix(scanner.Text(), "data: ")
		var chunk Completion
		if json.Unmarshal([]byte(data), &chunk) != nil {
			done = done || data == "[DONE]"
			continue
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
		usage = chunk.Usage
	}
	return text, usage, done, scanner.Err()
}

func serve(t *testing.T, options Options) (*Engine, string) {
	engine := New(options)
	server, err := engine.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return engine, server.URL
}

func stream(t *testing.T, url string, request Request) (text string, usage *Usage, done bool, err error) {
	response, err := post(t, http.DefaultClient, url, request, "a1")
	if err != nil {
		return "", nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	return collect(response.Body)
}

// Guards against answers that a client cannot compute itself, and against resumed streams that
// repeat or skip tokens.
func TestAnswerWholeStreamedAndResumed(t *testing.T) {
	engine, url := serve(t, Options{})
	request := conversation("hello")
	tokens := Answer(request.Messages, 0)
	text, usage, done, err := stream(t, url, request)
	require.NoError(t, err)
	require.True(t, done)
	require.Equal(t, strings.Join(tokens, ""), text)
	require.Equal(t, len(tokens), usage.CompletionTokens)

	request.ContinueFrom = &Produced{strings.Join(tokens[:5], ""), 5}
	text, usage, done, err = stream(t, url, request)
	require.NoError(t, err)
	require.True(t, done)
	require.Equal(t, strings.Join(tokens[5:], ""), text)
	require.Equal(t, usage.PromptTokens, usage.PromptTokensDetails.CachedTokens)

	request.ContinueFrom, request.Stream = nil, false
	response, err := post(t, http.DefaultClient, url, request, "a2")
	require.NoError(t, err)
	require.Equal(t, "a2", response.Header.Get(AttemptHeader))
	var whole Completion
	require.NoError(t, json.NewDecoder(response.Body).Decode(&whole))
	require.Equal(t, AnswerText(request.Messages, 0), string(whole.Choices[0].Message.Content))
	require.Equal(t, 3, engine.Runs())
	require.Equal(t, engine.Log()[0].Request, engine.Log()[2].Request)
}

// Guards against faults that leave the stream intact, or that apply more often than their count.
func TestFaultsOfAStream(t *testing.T) {
	engine, url := serve(t, Options{Model: "m"})
	request := conversation("hello")
	tokens := Answer(request.Messages, 0)

	engine.SetFault(Fault{EndWithoutDone: &StreamCut{After: 3, Times: 1}})
	text, _, done, err := stream(t, url, request)
	require.NoError(t, err)
	require.False(t, done)
	require.Equal(t, strings.Join(tokens[:3], ""), text)

	engine.SetFault(Fault{BreakAfter: &StreamCut{After: 2, Times: 1}})
	text, _, _, err = stream(t, url, request)
	require.Error(t, err)
	require.Equal(t, strings.Join(tokens[:2], ""), text)

	one := 1
	engine.SetFault(Fault{WrongAttemptID: &one})
	response, err := post(t, http.DefaultClient, url, request, "a1")
	require.NoError(t, err)
	text, _, done, _ = collect(response.Body)
	require.True(t, done)
	require.NotEqual(t, "a1", response.Header.Get(AttemptHeader))
	require.NotEqual(t, strings.Join(tokens, ""), text)

	text, _, done, err = stream(t, url, request)
	require.NoError(t, err)
	require.True(t, done)
	require.Equal(t, strings.Join(tokens, ""), text)

	refuse := true
	engine.SetFault(Fault{Refuse: &refuse})
	response, err = post(t, http.DefaultClient, url, request, "a1")
	require.NoError(t, err)
	require.Equal(t, []string{"true"}, response.Header["X-Not-Run"])
	require.Equal(t, 4, engine.Runs())
}

// Guards against a crash that leaves other streams running, and against the freeze fault
// affecting new connections or closing frozen ones.
func TestCrashAndFreeze(t *testing.T) {
	engine, url := serve(t, Options{TokensPerSecond: 0.001})
	clients := []*http.Client{{Transport: &http.Transport{}}, {Transport: &http.Transport{}}}
	open := func(client *http.Client) *http.Response {
		response, err := post(t, client, url, conversation("long"), "a1")
		require.NoError(t, err)
		return response
	}
	frozenResponse := open(clients[0])
	engine.SetFault(Fault{Freeze: true})
	crashedResponse := open(clients[1])
	crashOn := "poison"
	engine.SetFault(Fault{CrashOn: &crashOn})
	_, err := post(t, http.DefaultClient, url, conversation("some poison"), "a2")
	require.Error(t, err)
	_, _, done, err := collect(crashedResponse.Body)
	require.Error(t, err)
	require.False(t, done)

	read := make(chan error, 1)
	go func() {
		_, _, _, err := collect(frozenResponse.Body)
		read <- err
	}()
	select {
	case err := <-read:
		require.Fail(t, "the silent connection ended", "%v", err)
	default:
	}
	_ = frozenResponse.Body.Close()
	require.Error(t, <-read)
}

// call runs a request on the handler without a network, for use in a synctest bubble.
func call(engine *Engine, request Request, priority int) *httptest.ResponseRecorder {
	body, _ := json.Marshal(request)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
	r.Header.Set(PriorityHeader, strconv.Itoa(priority))
	r.Header.Set(ChatHeader, strconv.Itoa(priority))
	w := httptest.NewRecorder()
	engine.Handler().ServeHTTP(w, r)
	return w
}

// Guards against cache events that are visible before the event lag, dropped events that leave no
// gap in the sequence numbers, and a cache that grows without bound or survives a crash.
func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := New(Options{EventLag: time.Second, CacheTokens: 250})
		kinds := func(after uint64, wait time.Duration) (list []string) {
			for _, event := range engine.Events(t.Context(), after, wait) {
				list = append(list, strconv.FormatUint(event.Seq, 10)+" "+event.Kind+" "+event.Chat)
			}
			return list
		}
		call(engine, conversation("one"), 1)
		require.Empty(t, kinds(0, 999*time.Millisecond))
		require.Equal(t, []string{"1 stored 1"}, kinds(0, time.Minute))
		drop := 1
		engine.SetFault(Fault{DropEvents: &drop})
		call(engine, conversation("two"), 2)
		long := conversation("three")
		long.MaxTokens = 100
		call(engine, long, 3)
		require.Equal(t, []string{"3 stored 3", "4 evicted 1"}, kinds(2, time.Minute))
		engine.Crash()
		time.Sleep(defaultRestartDelay)
		synctest.Wait()
		require.EqualValues(t, 2, engine.Load().Incarnation)
		require.Empty(t, kinds(0, time.Minute))
		require.Empty(t, engine.cache.nodes)
	})
}

// Guards against more concurrent runs than slots, a queue that ignores priorities, and timings
// that differ from the options.
func TestSlotsPriorityAndTiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := New(Options{Slots: 1, Queue: 2, TokensPerSecond: 10, FirstToken: time.Second})
		request := conversation("one")
		request.MaxTokens = 11
		order := make(chan int, 3)
		for _, priority := range []int{0, 9, 5} {
			go func() {
				call(engine, request, priority)
				order <- priority
			}()
			synctest.Wait()
		}
		refused := call(engine, request, 1)
		require.Equal(t, http.StatusServiceUnavailable, refused.Code)
		require.Equal(t, "true", refused.Header().Get(NotRunHeader))
		start := time.Now()
		require.Equal(t, []int{0, 5, 9}, []int{<-order, <-order, <-order})
		require.Equal(t, 6*time.Second, time.Since(start))
	})
}

// Guards against an imported chat that is not used as cache, and against a check of fencing
// numbers that ignores the CheckFence option.
func TestExportAndOrders(t *testing.T) {
	from, to := New(Options{CheckFence: true}), New(Options{})
	call(from, conversation("one"), 7)
	send := func(engine *Engine, path, body string) (int, string) {
		w := httptest.NewRecorder()
		engine.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	status, blob := send(from, "/cache/export", `{"chat":"7"}`)
	require.Equal(t, http.StatusOK, status)
	status, _ = send(to, "/cache/import", blob)
	require.Equal(t, http.StatusOK, status)
	call(to, conversation("one"), 7)
	require.Equal(t, to.Log()[0].PromptTokens, to.Log()[0].CachedTokens)

	for _, engine := range []*Engine{from, to} {
		status, _ = send(engine, "/admin/orders", `{"fence":2,"model":"m","version":"v2"}`)
		require.Equal(t, http.StatusOK, status)
	}
	status, _ = send(from, "/admin/orders", `{"fence":1,"version":"v1"}`)
	require.Equal(t, http.StatusConflict, status)
	status, _ = send(to, "/admin/orders", `{"fence":1,"version":"v1"}`)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "v2", from.Load().Version)
	require.Equal(t, "v1", to.Load().Version)
}
