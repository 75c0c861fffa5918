package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// maxRecordedBody is the largest answer body that is kept with a claim's outcome.
const maxRecordedBody = 8 << 10

// plainBufferBytes is the copy buffer of an answer.
const plainBufferBytes = 4 << 10

// plainResponder answers one call of a plain service.
type plainResponder struct {
	d             *Daemon
	w             http.ResponseWriter
	control       *http.ResponseController
	method        string
	path          string
	query         string
	header        http.Header
	body          []byte
	nonIdempotent bool
	timeout       time.Duration

	started bool
	record  bytes.Buffer
	copied  int
}

func (p *plainResponder) run(ctx context.Context, cmd core.StartAttempt, firstByte func()) core.AttemptEnded {
	if p.nonIdempotent {
		// The call goes on without its caller, so that a resend finds the recorded answer.
		ctx = context.WithoutCancel(ctx)
	}
	var outcome *wire.Outcome
	result := exchangeOnce(ctx, p.timeout, cmd, p.send, func(res *http.Response, x *exchange) wire.Result {
		firstByte()
		result := p.receive(ctx, res, cmd, x)
		outcome = p.outcome(res, result)
		return result
	})
	p.d.afterAttempt(cmd, result)
	return core.AttemptEnded{
		Request:   cmd.Request,
		Attempt:   cmd.Attempt,
		Result:    result,
		Delivered: p.started,
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
		// Without GetBody net/http can't resend the request by itself.
		req.GetBody = nil
		return p.d.upstreams.fresh.RoundTrip(req)
	}
	return p.d.upstreams.transport(cmd.Target.Engine).RoundTrip(req)
}

func (p *plainResponder) receive(ctx context.Context, res *http.Response, cmd core.StartAttempt, x *exchange) wire.Result {
	if refused(res) {
		return wire.ResultNotRun
	}
	if !p.d.ownAnswer(res, cmd) {
		return wire.ResultBroken
	}
	buf := make([]byte, plainBufferBytes)
	reader := progressReader{r: res.Body, x: x}
	for {
		n, err := reader.Read(buf)
		if n > 0 || err == io.EOF {
			if werr := p.write(res, buf[:n]); werr != nil {
				return p.writeFailed(reader)
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

// writeFailed handles a caller that left during the answer. A non-idempotent call has run,
// so that the rest of the answer is still read for its record.
func (p *plainResponder) writeFailed(rest io.Reader) wire.Result {
	if !p.nonIdempotent {
		return wire.ResultCanceled
	}
	data, err := io.ReadAll(io.LimitReader(rest, maxAnswerBytes))
	if err != nil {
		return wire.ResultBroken
	}
	p.note(data)
	return wire.ResultComplete
}

func (p *plainResponder) write(res *http.Response, data []byte) error {
	p.note(data)
	if !p.started {
		p.started = true
		copyHeader(p.w.Header(), res.Header)
		p.w.Header().Del(attemptIDHeader)
		if res.ContentLength >= 0 {
			p.w.Header().Set("Content-Length", strconv.FormatInt(res.ContentLength, 10))
		}
		p.w.WriteHeader(res.StatusCode)
	}
	_ = p.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := p.w.Write(data)
	return err
}

// note keeps the start of the answer for the claim's record.
func (p *plainResponder) note(data []byte) {
	p.copied += len(data)
	if !p.nonIdempotent {
		return
	}
	room := maxRecordedBody + 1 - p.record.Len()
	p.record.Write(data[:min(room, len(data))])
}

// outcome returns the record of a completed non-idempotent call.
func (p *plainResponder) outcome(res *http.Response, result wire.Result) *wire.Outcome {
	if !p.nonIdempotent || result != wire.ResultComplete {
		return nil
	}
	out := &wire.Outcome{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type")}
	if p.copied > maxRecordedBody {
		out.Truncated = true
		return out
	}
	out.Body = bytes.Clone(p.record.Bytes())
	return out
}

// fail tells the caller about a failure. A call whose answer has begun is cut off, so that
// the caller can't take it for whole.
func (p *plainResponder) fail(e callerError) {
	if p.started {
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

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	httputil.RemoveHopByHop(to)
}
