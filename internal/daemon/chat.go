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
	// maxAnswerBytes bounds an unstreamed answer that is held until it is whole.
	maxAnswerBytes = 16 << 20
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the read buffer of a stream. It holds several events of one token,
	// and one buffer is held per open stream; longer events are put together from parts.
	streamBufferBytes = 1 << 10
	// callerWriteTimeout bounds one write to a caller that doesn't read.
	callerWriteTimeout = 30 * time.Second

	chatPath        = "/v1/chat/completions"
	attemptIDHeader = "X-Attempt-Id"
	chatKeyHeader   = "X-Chat-Key"
	priorityHeader  = "X-Priority"
	notRunHeader    = "X-Not-Run"
)

var (
	doneMarker = []byte("[DONE]")
	dataPrefix = []byte("data:")
)

// chatResponder answers one chat request, over several attempts if needed.
type chatResponder struct {
	d       *Daemon
	w       http.ResponseWriter
	control *http.ResponseController
	body    []byte
	stream  bool
	chatKey string
	timeout time.Duration

	started  bool
	text     strings.Builder
	tokens   int
	cached   bool
	template chunkTemplate
}

// continueFrom asks an engine to continue an answer.
type continueFrom struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// run sends the request to an engine and passes the answer on. It reports how the attempt ended.
func (c *chatResponder) run(ctx context.Context, cmd core.StartAttempt, firstByte func()) core.AttemptEnded {
	timeout := cmd.StallTimeout
	if !c.stream {
		timeout = c.timeout
	}
	// The chunks of another engine have another id.
	c.template = chunkTemplate{}
	result := exchangeOnce(ctx, timeout, cmd, c.send, func(res *http.Response, x *exchange) wire.Result {
		firstByte()
		return c.receive(ctx, res, cmd, x)
	})
	c.d.afterAttempt(cmd, result)
	return core.AttemptEnded{
		Request:   cmd.Request,
		Attempt:   cmd.Attempt,
		Result:    result,
		Delivered: c.started,
		Resumable: c.stream,
		Cached:    c.cached,
	}
}

func (c *chatResponder) send(ctx context.Context, cmd core.StartAttempt) (*http.Response, error) {
	body := c.body
	if cmd.Resume && c.started {
		var err error
		if body, err = withContinuation(c.body, continueFrom{Text: c.text.String(), Tokens: c.tokens}); err != nil {
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
	req.Header.Set(priorityHeader, strconv.Itoa(cmd.Class))
	return c.d.upstreams.transport(cmd.Target.Engine).RoundTrip(req)
}

// withContinuation returns body with the continue_from field set.
func withContinuation(body []byte, from continueFrom) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("daemon: continue chat: %w", err)
	}
	value, err := json.Marshal(from)
	if err != nil {
		return nil, fmt.Errorf("daemon: continue chat: %w", err)
	}
	fields["continue_from"] = value
	return json.Marshal(fields)
}

// receive passes an engine's answer to the caller.
func (c *chatResponder) receive(ctx context.Context, res *http.Response, cmd core.StartAttempt, x *exchange) wire.Result {
	if refused(res) {
		return wire.ResultNotRun
	}
	if !c.d.ownAnswer(res, cmd) {
		return wire.ResultBroken
	}
	if c.stream && res.StatusCode == http.StatusOK {
		err := c.copyStream(progressReader{r: res.Body, x: x})
		return streamResult(ctx, x, err)
	}
	if c.started {
		// A continued stream that is answered by an error can't be passed on any more.
		return wire.ResultBroken
	}
	return c.copyWhole(ctx, res, x)
}

// copyStream passes whole events on until the end marker. It returns
// io.ErrUnexpectedEOF when the stream ends without one.
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
			return noEOF(err)
		}
		if len(event) > maxEventBytes {
			return bufio.ErrTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		done := c.note(event)
		if err := c.writeEvent(event, done || reader.Buffered() == 0); err != nil {
			return err
		}
		if done {
			return nil
		}
		event = event[:0]
	}
}

// note records what an event carries and reports whether it is the end marker.
func (c *chatResponder) note(event []byte) bool {
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return true
		}
		c.noteChunk(data)
	}
	return false
}

func (c *chatResponder) noteChunk(data []byte) {
	if text, ok := c.template.content(data); ok {
		c.noteText(text)
		return
	}
	var chunk chatChunk
	if json.Unmarshal(data, &chunk) != nil {
		return
	}
	c.noteText([]byte(chunk.content()))
	c.template.learn(data, &chunk)
	if chunk.Usage != nil && chunk.Usage.Details.CachedTokens > 0 {
		c.cached = true
	}
}

// noteText records a chunk's content.
func (c *chatResponder) noteText(text []byte) {
	if len(text) > 0 {
		c.text.Write(text)
		c.tokens++
	}
}

// errCallerGone reports a failed write to the caller.
var errCallerGone = errors.New("daemon: caller is gone")

func (c *chatResponder) writeEvent(event []byte, flush bool) error {
	if !c.started {
		c.started = true
		header := c.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		c.w.WriteHeader(http.StatusOK)
	}
	_ = c.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := c.w.Write(event); err != nil {
		return errCallerGone
	}
	if !flush {
		return nil
	}
	if err := c.control.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// copyWhole passes an unstreamed answer on once it is whole.
func (c *chatResponder) copyWhole(ctx context.Context, res *http.Response, x *exchange) wire.Result {
	body, err := io.ReadAll(io.LimitReader(progressReader{r: res.Body, x: x}, maxAnswerBytes+1))
	if err != nil {
		return resultOf(ctx, x, err)
	}
	isJSON := strings.HasPrefix(res.Header.Get("Content-Type"), "application/json")
	if len(body) > maxAnswerBytes || (isJSON && !json.Valid(body)) {
		return wire.ResultBroken
	}
	c.noteChunk(body)
	c.started = true
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

// fail tells the caller about a failure, as an error event when the stream has begun.
func (c *chatResponder) fail(e callerError) {
	if !c.started {
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

// replay is not used for chats: their calls are never claimed.
func (c *chatResponder) replay(wire.Outcome) {
	c.fail(callerError{Status: http.StatusInternalServerError, Kind: core.FailureUnknown, Code: "internal"})
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// streamResult maps the end of a copied stream to an attempt's result.
func streamResult(ctx context.Context, x *exchange, err error) wire.Result {
	if err == nil {
		return wire.ResultComplete
	}
	if errors.Is(err, errCallerGone) {
		return wire.ResultCanceled
	}
	return resultOf(ctx, x, err)
}

// resultOf maps a failed exchange to an attempt's result.
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

// refused tells that an engine declined a request before running any of it.
func refused(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(notRunHeader) == "true"
}
