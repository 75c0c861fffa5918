package daemon

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxRecordedBytes is the largest response body that is recorded with a claim's outcome. A claim is
// the stored record by which a non-idempotent call runs at most once; see package claim.
const maxRecordedBytes = 8 << 10

// maxUnreadBytes bounds what is still read of the response to a non-idempotent call whose caller has disconnected.
const maxUnreadBytes = 16 << 20

// plainBufferBytes is the size of the buffer through which a response is copied.
const plainBufferBytes = 4 << 10

// plainResponder answers one call of a plain service. The response of a non-idempotent call is
// recorded for callers that send the call again.
type plainResponder struct {
	daemon         *Daemon
	w              http.ResponseWriter
	controller     *http.ResponseController
	method         string
	path           string
	query          string
	header         http.Header
	body           []byte
	nonIdempotent  bool
	serviceTimeout time.Duration

	// responseStarted tells that writing the response to the caller has begun.
	responseStarted bool
	// recordedBody is the start of a non-idempotent call's response, at most one byte more than
	// maxRecordedBytes. responseBytes is the length of the response so far.
	recordedBody  bytes.Buffer
	responseBytes int
}

// runAttempt sends the call to an engine and forwards the response. It returns how the attempt
// ended, with the outcome to record.
func (p *plainResponder) runAttempt(ctx context.Context, cmd core.StartAttempt, firstByte func()) core.AttemptEnded {
	if p.nonIdempotent {
		// The call goes on when the caller disconnects, so that a resend finds the recorded response.
		ctx = context.WithoutCancel(ctx)
	}
	var outcome *wire.Outcome
	result := runExchange(ctx, p.daemon.interruptCtx, p.serviceTimeout, cmd, p.send, func(res *http.Response, x *exchange) wire.Result {
		firstByte()
		result := p.receive(ctx, res, cmd, x)
		outcome = p.recordedOutcome(res, result)
		return result
	})
	p.daemon.dropStalledConnections(cmd, result)
	return core.AttemptEnded{
		Request:   cmd.Request,
		Attempt:   cmd.Attempt,
		Result:    result,
		Delivered: p.responseStarted,
		Outcome:   outcome,
	}
}

func (p *plainResponder) send(ctx context.Context, cmd core.StartAttempt) (*http.Response, error) {
	url := "http://" + cmd.Target.Addr + p.path
	if p.query != "" {
		url += "?" + p.query
	}
	req, err := http.NewRequestWithContext(ctx, p.method, url, bytes.NewReader(p.body))
	if err != nil {
		return nil, err
	}
	copyHeader(req.Header, p.header)
	req.Header.Del("Authorization")
	req.Header.Set(attemptIDHeader, string(cmd.AttemptID))
	if p.nonIdempotent {
		// Without GetBody net/http can't resend the request on its own.
		req.GetBody = nil
		return p.daemon.upstreams.unpooled.RoundTrip(req)
	}
	return p.daemon.upstreams.transport(cmd.Target.Engine).RoundTrip(req)
}

// receive forwards an engine's response to the caller while it arrives.
func (p *plainResponder) receive(ctx context.Context, res *http.Response, cmd core.StartAttempt, x *exchange) wire.Result {
	if refusedByEngine(res) {
		return wire.ResultNotRun
	}
	if !p.daemon.matchesAttempt(res, cmd) {
		return wire.ResultBroken
	}
	buf := make([]byte, plainBufferBytes)
	reader := progressReader{r: res.Body, x: x}
	for {
		n, err := reader.Read(buf)
		if err == io.EOF && endedBeforeBody(res, p.responseBytes+n) {
			return wire.ResultBroken
		}
		if n > 0 || err == io.EOF {
			if writeErr := p.writeResponse(res, buf[:n]); writeErr != nil {
				return p.finishAfterWriteError(reader)
			}
		}
		if err == io.EOF {
			return wire.ResultComplete
		}
		if err != nil {
			return resultOf(ctx, x, err)
		}
	}
}

// finishAfterWriteError ends an attempt whose caller disconnected during the response. A
// non-idempotent call has run, so the rest of its response is read and recorded.
func (p *plainResponder) finishAfterWriteError(rest io.Reader) wire.Result {
	if !p.nonIdempotent {
		return wire.ResultCanceled
	}
	if _, err := io.Copy(responseRecorder{p}, io.LimitReader(rest, maxUnreadBytes)); err != nil {
		return wire.ResultBroken
	}
	return wire.ResultComplete
}

// writeResponse writes a part of the response to the caller, after the header if it is the first
// part, and records it.
func (p *plainResponder) writeResponse(res *http.Response, data []byte) error {
	p.recordBody(data)
	if !p.responseStarted {
		p.responseStarted = true
		copyHeader(p.w.Header(), res.Header)
		p.w.Header().Del(attemptIDHeader)
		if res.ContentLength >= 0 {
			p.w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
		}
		p.w.WriteHeader(res.StatusCode)
	}
	_ = p.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := p.w.Write(data)
	return err
}

// responseRecorder records what is written to it as the body of the response.
type responseRecorder struct{ p *plainResponder }

// Write implements io.Writer.
func (r responseRecorder) Write(data []byte) (int, error) {
	r.p.recordBody(data)
	return len(data), nil
}

// recordBody counts the bytes of the response. Of a non-idempotent call it also keeps the start of
// the response for the claim's outcome.
func (p *plainResponder) recordBody(data []byte) {
	p.responseBytes += len(data)
	if !p.nonIdempotent {
		return
	}
	remaining := maxRecordedBytes + 1 - p.recordedBody.Len()
	p.recordedBody.Write(data[:min(remaining, len(data))])
}

// recordedOutcome returns the outcome to record for a completed non-idempotent call, otherwise nil.
func (p *plainResponder) recordedOutcome(res *http.Response, result wire.Result) *wire.Outcome {
	if !p.nonIdempotent || result != wire.ResultComplete {
		return nil
	}
	out := &wire.Outcome{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type")}
	if p.responseBytes > maxRecordedBytes {
		out.Truncated = true
		return out
	}
	out.Body = bytes.Clone(p.recordedBody.Bytes())
	return out
}

// fail reports a failure to the caller. If the response has begun, it closes the connection, so
// that the caller can't take the response for complete.
func (p *plainResponder) fail(e callerError) {
	if p.responseStarted {
		panic(http.ErrAbortHandler)
	}
	writeError(p.w, e)
}

// replay answers with the recorded outcome of an earlier call.
func (p *plainResponder) replay(o wire.Outcome) {
	header := p.w.Header()
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	header.Set("Idempotent-Replayed", "true")
	if o.Truncated {
		header.Set("X-Bilberry-Body", "truncated")
	}
	p.w.WriteHeader(o.Status)
	_, _ = p.w.Write(o.Body)
}

// copyHeader copies a header without its hop-by-hop fields.
func copyHeader(to, from http.Header) {
	copied := from.Clone()
	httputil.RemoveHopByHop(copied)
	maps.Copy(to, copied)
}
