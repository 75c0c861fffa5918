package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

const (
	// maxUnstreamedBytes bounds an unstreamed response, which is buffered until it is complete.
	maxUnstreamedBytes = 4 << 20
	// maxTextBytes bounds the text of a streamed response, which is kept so that another engine can continue it. It
	// is longer than the context of a model.
	maxTextBytes = 1 << 20
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the size of a stream's read buffer. It holds several events that carry
	// one token each; a longer event is assembled from several reads. Each open stream has one
	// buffer.
	streamBufferBytes = 1 << 10
	// callerWriteTimeout bounds one write to a caller, which blocks while the caller doesn't read.
	callerWriteTimeout = 30 * time.Second

	// chatPath is the path of chat requests, both of callers to the router and of the router to an
	// engine. The headers are those between the router and an engine; notRunHeader marks a response
	// by which the engine refuses a request without having run any part of it.
	chatPath             = "/v1/chat/completions"
	attemptIDHeader      = "X-Attempt-Id"
	chatKeyHeader        = "X-Chat-Key"
	enginePriorityHeader = "X-Priority"
	notRunHeader         = "X-Not-Run"
)

var (
	doneMarker = []byte("[DONE]")
	dataPrefix = []byte("data:")
)

// chatResponder answers one chat request, over several attempts if needed. A resumed attempt
// continues the text that was delivered before.
type chatResponder struct {
	daemon     *Daemon
	w          http.ResponseWriter
	controller *http.ResponseController
	body       []byte
	stream     bool
	chatKey    string
	// serviceTimeout is the stall timeout of an unstreamed response.
	serviceTimeout time.Duration

	// responseStarted tells that writing the response to the caller has begun.
	responseStarted bool
	// deliveredText is the text of the response so far, deliveredTokens the number of its chunks
	// with content, each of which counts as one token.
	deliveredText   strings.Builder
	deliveredTokens int
	// cacheHit tells that an engine reported cached prompt tokens.
	cacheHit bool
	template chunkTemplate
}

// continueFrom is the request field that asks an engine to continue a response.
type continueFrom struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// runAttempt sends the request to an engine and forwards the response to the caller. It returns
// how the attempt ended.
func (c *chatResponder) runAttempt(ctx context.Context, cmd core.StartAttempt, firstByte func()) core.AttemptEnded {
	stallTimeout := cmd.StallTimeout
	if !c.stream {
		stallTimeout = c.serviceTimeout
	}
	// The chunks of another engine have a different id, so the template of the previous attempt
	// doesn't match them.
	c.template = chunkTemplate{}
	result := runExchange(ctx, c.daemon.interruptCtx, stallTimeout, cmd, c.send, func(res *http.Response, x *exchange) wire.Result {
		firstByte()
		return c.receive(ctx, res, cmd, x)
	})
	c.daemon.dropStalledConnections(cmd, result)
	return core.AttemptEnded{
		Request:   cmd.Request,
		Attempt:   cmd.Attempt,
		Result:    result,
		Delivered: c.responseStarted,
		Resumable: c.stream,
		CacheHit:  c.cacheHit,
	}
}

// send sends the request to the engine of an attempt. A resumed attempt asks the engine to
// continue the delivered text.
func (c *chatResponder) send(ctx context.Context, cmd core.StartAttempt) (*http.Response, error) {
	body := c.body
	if cmd.Resume && c.responseStarted {
		var err error
		if body, err = withContinuation(c.body, continueFrom{Text: c.deliveredText.String(), Tokens: c.deliveredTokens}); err != nil {
			return nil, err
		}
	}
	url := "http://" + cmd.Target.Addr + chatPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(attemptIDHeader, string(cmd.AttemptID))
	req.Header.Set(chatKeyHeader, c.chatKey)
	req.Header.Set(enginePriorityHeader, strconv.Itoa(cmd.Class))
	return c.daemon.upstreams.transport(cmd.Target.Engine).RoundTrip(req)
}

// withContinuation returns body with the continue_from field set.
func withContinuation(body []byte, from continueFrom) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("daemon: add continue_from to the chat request: %w", err)
	}
	value, err := json.Marshal(from)
	if err != nil {
		return nil, fmt.Errorf("daemon: add continue_from to the chat request: %w", err)
	}
	fields["continue_from"] = value
	return json.Marshal(fields)
}

// receive forwards an engine's response to the caller.
func (c *chatResponder) receive(ctx context.Context, res *http.Response, cmd core.StartAttempt, x *exchange) wire.Result {
	if refusedByEngine(res) {
		return wire.ResultNotRun
	}
	if !c.daemon.matchesAttempt(res, cmd) {
		return wire.ResultBroken
	}
	isStream := strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	if c.responseStarted && (res.StatusCode != http.StatusOK || !isStream) {
		// The engine did not continue the stream, and nothing else can be forwarded in the middle of it.
		return wire.ResultBroken
	}
	if c.stream && res.StatusCode == http.StatusOK {
		err := c.copyStream(progressReader{r: res.Body, x: x})
		return streamResult(ctx, x, err)
	}
	return c.copyUnstreamed(ctx, res, x)
}

// copyStream forwards a stream up to the end marker, each event as soon as it is complete. It
// returns io.ErrUnexpectedEOF when the stream ends without the marker.
func (c *chatResponder) copyStream(body io.Reader) error {
	reader := bufio.NewReaderSize(body, streamBufferBytes)
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes {
			continue
		}
		if err != nil {
			return unexpectedEOF(err)
		}
		if len(event) > maxEventBytes {
			return bufio.ErrTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		done := c.scanEvent(event)
		if c.deliveredText.Len() > maxTextBytes {
			return errLongText
		}
		if err := c.writeEvent(event, done || reader.Buffered() == 0); err != nil {
			return err
		}
		if done {
			return nil
		}
		event = event[:0]
	}
}

// scanEvent records the content of an event and reports whether the event is the end marker.
func (c *chatResponder) scanEvent(event []byte) bool {
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return true
		}
		c.scanChunk(data)
	}
	return false
}

// scanChunk records the text of a chunk and whether it reports cached prompt tokens. It decodes
// the chunk only if the chunk doesn't match the template.
func (c *chatResponder) scanChunk(data []byte) {
	if text, ok := c.template.content(data); ok {
		c.recordText(text)
		return
	}
	var chunk chatChunk
	if json.Unmarshal(data, &chunk) != nil {
		return
	}
	c.recordText([]byte(chunk.content()))
	c.template.derive(data, &chunk)
	if chunk.Usage != nil && chunk.Usage.Details.CachedTokens > 0 {
		c.cacheHit = true
	}
}

// recordText appends a chunk's text to the delivered text.
func (c *chatResponder) recordText(text []byte) {
	if len(text) > 0 {
		c.deliveredText.Write(text)
		c.deliveredTokens++
	}
}

// errLongText reports a stream whose text exceeds maxTextBytes.
var errLongText = errors.New("daemon: the text of the response exceeds 1 MiB")

// errCallerWrite reports a failed write to the caller.
var errCallerWrite = errors.New("daemon: write to the caller failed")

// writeEvent writes an event to the caller, after the header if it is the first one.
func (c *chatResponder) writeEvent(event []byte, flush bool) error {
	if !c.responseStarted {
		c.responseStarted = true
		header := c.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		c.w.WriteHeader(http.StatusOK)
	}
	_ = c.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := c.w.Write(event); err != nil {
		return errCallerWrite
	}
	if !flush {
		return nil
	}
	if err := c.controller.Flush(); err != nil {
		return errCallerWrite
	}
	return nil
}

// copyUnstreamed reads an unstreamed response completely, then forwards it.
func (c *chatResponder) copyUnstreamed(ctx context.Context, res *http.Response, x *exchange) wire.Result {
	body, err := io.ReadAll(io.LimitReader(progressReader{r: res.Body, x: x}, maxUnstreamedBytes+1))
	if err != nil {
		return resultOf(ctx, x, err)
	}
	isJSON := strings.HasPrefix(res.Header.Get("Content-Type"), "application/json")
	if len(body) > maxUnstreamedBytes || endedBeforeBody(res, len(body)) || (isJSON && !json.Valid(body)) {
		return wire.ResultBroken
	}
	c.scanChunk(body)
	c.responseStarted = true
	header := c.w.Header()
	header.Set("Content-Type", res.Header.Get("Content-Type"))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if res.StatusCode >= http.StatusInternalServerError {
		header.Set(OutcomeHeader, string(core.FailureFailed))
	}
	c.w.WriteHeader(res.StatusCode)
	if _, err := c.w.Write(body); err != nil {
		return wire.ResultCanceled
	}
	return wire.ResultComplete
}

// fail reports a failure to the caller, as an error event if the response has begun.
func (c *chatResponder) fail(e callerError) {
	if !c.responseStarted {
		writeError(c.w, e)
		return
	}
	data, err := json.Marshal(e.body())
	if err != nil {
		return
	}
	event := append([]byte("event: error\ndata: "), data...)
	_ = c.writeEvent(append(event, "\n\n"...), true)
}

// replay reports an internal error. Only non-idempotent calls of plain services have a claim with a
// recorded outcome, so the reducer does not replay a chat.
func (c *chatResponder) replay(wire.Outcome) {
	c.fail(callerError{Status: http.StatusInternalServerError, Kind: core.FailureUnknown, Code: "internal"})
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF and returns other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// streamResult maps an error of copyStream to an attempt's result.
func streamResult(ctx context.Context, x *exchange, err error) wire.Result {
	if err == nil {
		return wire.ResultComplete
	}
	if errors.Is(err, errCallerWrite) {
		return wire.ResultCanceled
	}
	return resultOf(ctx, x, err)
}

// resultOf maps the error of a failed exchange to an attempt's result.
func resultOf(ctx context.Context, x *exchange, err error) wire.Result {
	switch {
	case !x.sent.Load():
		return wire.ResultNotRun
	case ctx.Err() != nil:
		return wire.ResultCanceled
	case x.stalled.Load() || errors.Is(err, errStalled):
		return wire.ResultStalled
	}
	return wire.ResultBroken
}

// refusedByEngine reports whether an engine refused a request before running any part of it.
func refusedByEngine(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(notRunHeader) == "true"
}
