// Package callersim simulates callers of the fleet in tests and measurements. It sends chat
// requests for engines of package enginesim and calls for services of package servicesim, and
// checks that each answer is complete and belongs to its own request.
package callersim

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
)

const (
	// ConversationHeader carries the conversation ID.
	ConversationHeader = "X-Conversation-Id"
	// OutcomeHeader carries the kind of an error: not_run, unknown or failed.
	OutcomeHeader = "X-Bilberry-Outcome"
	// ChatPath is the path of chat requests.
	ChatPath = "/v1/chat/completions"
	// maxLineBytes bounds one line of a stream.
	maxLineBytes = 1 << 20
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 16 << 20
)

// Kind is the outcome of a chat request or call.
type Kind string

const (
	// Complete means a complete answer to the caller's own request.
	Complete Kind = "ok"
	// WrongAnswer means an answer that belongs to another request.
	WrongAnswer Kind = "wrong"
	// Cut means a truncated answer.
	Cut Kind = "cut"
	// NotRun, Unknown and Failed are the outcomes that an error response states itself: the request
	// did not run, may have run, or ran and failed. An error response that states none counts as
	// Failed.
	NotRun  Kind = "not_run"
	Unknown Kind = "unknown"
	Failed  Kind = "failed"
	// Unreachable means that the connection was refused, so nothing was sent.
	Unreachable Kind = "unreachable"
	// Broken means that the connection ended before an answer.
	Broken Kind = "broken"
)

// Client sends requests to one base URL with one API key.
type Client struct {
	HTTP *http.Client
	// Base is the URL of the instance or engine, without a trailing slash.
	Base string
	Key  string
}

// ChatResult is the result of a chat request.
type ChatResult struct {
	Kind   Kind
	Status int
	// Detail is the error or the body of the error response, for reports.
	Detail string
	Text   string
	Usage  enginesim.Usage
	// FirstToken and Total are the times from sending the request to the first token and to the
	// end of the answer.
	FirstToken time.Duration
	Total      time.Duration
	RetryAfter time.Duration
}

// Chat sends a chat request and checks the answer.
func (c *Client) Chat(ctx context.Context, conversation string, request enginesim.Request) ChatResult {
	body, err := json.Marshal(request)
	if err != nil {
		return ChatResult{Kind: Failed, Detail: err.Error()}
	}
	start := time.Now()
	r := c.request(ctx, http.MethodPost, ChatPath, body)
	r.Header.Set(ConversationHeader, conversation)
	response, err := c.HTTP.Do(r)
	if err != nil {
		return ChatResult{Kind: connectionKind(err), Detail: err.Error(), Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	result := readResponse(response, request.Stream, start)
	result.Total = time.Since(start)
	result.check(request)
	return result
}

// request builds a request whose body net/http cannot rewind. With a rewindable body net/http
// would itself resend a request with an Idempotency-Key after a broken connection.
func (c *Client) request(ctx context.Context, method, path string, body []byte) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, c.Base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(err) // The base URL comes from a listener's address.
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	return r
}

// readResponse reads a response. It leaves Kind empty if the answer was read without an error.
func readResponse(response *http.Response, streamed bool, start time.Time) ChatResult {
	result := ChatResult{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		result.Kind, result.Detail = errorKind(response)
		result.RetryAfter = retryAfter(response)
		return result
	}
	if streamed {
		readStream(response.Body, &result, start)
		return result
	}
	var completion enginesim.Completion
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&completion); err != nil {
		result.Kind, result.Detail = Cut, err.Error()
		return result
	}
	result.FirstToken = time.Since(start)
	result.addCompletion(completion)
	return result
}

// readStream reads server-sent events up to the [DONE] event.
func readStream(body io.Reader, result *ChatResult, start time.Time) {
	result.Kind, result.Detail = Cut, "stream ended without [DONE]"
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			result.Kind, result.Detail = "", ""
			return
		}
		if result.FirstToken == 0 {
			result.FirstToken = time.Since(start)
		}
		if !result.addChunk(data) {
			return
		}
	}
	if err := scanner.Err(); err != nil {
		result.Detail = err.Error()
	}
}

// addChunk adds one chunk to the result. It returns false for an error event or invalid JSON,
// either of which ends the stream.
func (r *ChatResult) addChunk(data []byte) bool {
	var chunk struct {
		enginesim.Completion
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		r.Detail = err.Error()
		return false
	}
	if chunk.Error != nil {
		r.Detail = "error event: " + string(chunk.Error)
		return false
	}
	r.addCompletion(chunk.Completion)
	return true
}

func (r *ChatResult) addCompletion(c enginesim.Completion) {
	for _, choice := range c.Choices {
		switch {
		case choice.Delta != nil:
			r.Text += choice.Delta.Content
		case choice.Message != nil:
			r.Text += string(choice.Message.Content)
		}
	}
	if c.Usage != nil {
		r.Usage = *c.Usage
	}
}

// check sets the kind by comparing the answer with the one expected for the request.
func (r *ChatResult) check(request enginesim.Request) {
	if r.Kind != "" && r.Kind != Cut {
		return
	}
	want := enginesim.AnswerText(request.Messages, request.MaxTokens)
	switch {
	case r.Kind == Cut && len(r.Text) <= len(want) && want[:len(r.Text)] == r.Text:
	case r.Text != want:
		r.Kind, r.Detail = WrongAnswer, "got "+strconv.Quote(r.Text)+", want "+strconv.Quote(want)
	case r.Kind == "":
		r.Kind = Complete
	}
}

// CallResult is the result of a call to a plain service.
type CallResult struct {
	Kind       Kind
	Status     int
	Detail     string
	Receipt    servicesim.Receipt
	Total      time.Duration
	RetryAfter time.Duration
}

// Call sends a call with an idempotency key and checks its receipt.
func (c *Client) Call(ctx context.Context, method, path, key string, body []byte) CallResult {
	start := time.Now()
	r := c.request(ctx, method, path, body)
	r.Header.Set(servicesim.KeyHeader, key)
	response, err := c.HTTP.Do(r)
	if err != nil {
		return CallResult{Kind: connectionKind(err), Detail: err.Error(), Total: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	result := CallResult{Status: response.StatusCode, RetryAfter: retryAfter(response)}
	if response.StatusCode != http.StatusOK {
		result.Kind, result.Detail = errorKind(response)
	} else {
		result.readReceipt(response.Body, key, body)
	}
	result.Total = time.Since(start)
	return result
}

func (r *CallResult) readReceipt(responseBody io.Reader, key string, body []byte) {
	if err := json.NewDecoder(io.LimitReader(responseBody, maxAnswerBytes)).Decode(&r.Receipt); err != nil {
		r.Kind, r.Detail = Cut, err.Error()
		return
	}
	r.Kind = Complete
	if r.Receipt.Key != key || r.Receipt.BodySHA256 != servicesim.BodyDigest(body) {
		r.Kind, r.Detail = WrongAnswer, "receipt of key "+r.Receipt.Key+" for key "+key
	}
}
