package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
	"github.com/bilberrywell/bilberrywell/routing"
)

const (
	// maxHeldBytes bounds an answer that is held in memory until it is whole. A larger one is
	// passed on as it arrives and can't be replaced by another attempt.
	maxHeldBytes = 64 << 10
	// copyBufferBytes is the buffer of an answer that is passed on as it arrives.
	copyBufferBytes = 4 << 10
	// callerWriteTimeout bounds a write to a caller that does not read.
	callerWriteTimeout = 5 * time.Second
)

var (
	// errUnsigned reports a success that the engine does not vouch for.
	errUnsigned = errors.New("success without a signature")
	// errNotResumed reports a failure in place of the rest of a stream.
	errNotResumed = errors.New("the stream was not resumed")
)

// heldAnswer is an engine's whole answer in memory.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt is one exchange with an engine.
type attempt struct {
	*caller
	cmd  router.Send
	ctx  context.Context
	sent time.Duration
	x    *upstream.Exchange
	head AnswerHead
	end  router.AttemptEnded
	// stall ends the attempt when the engine is silent for too long; stalled tells that it did.
	stall   *time.Timer
	stalled atomic.Bool
}

// attempt sends the request to an engine and passes on the answer.
func (c *caller) attempt(cmd router.Send) router.AttemptEnded {
	ctx, cancel := c.callContext(cmd.Deadline)
	defer cancel()
	a := &attempt{caller: c, cmd: cmd, ctx: ctx, sent: c.g.now(), end: router.AttemptEnded{Call: c.id}}
	if cmd.HeaderTimeout > 0 {
		a.stall = time.AfterFunc(cmd.HeaderTimeout, func() {
			a.stalled.Store(true)
			cancel()
		})
		defer a.stall.Stop()
	}
	a.run()
	a.end.Delivered = c.started
	return a.end
}

func (a *attempt) run() {
	conn, err := a.g.engines.Get(a.ctx, a.cmd.Engine.Addr)
	if err != nil {
		a.fail(router.Unsent, err)
		return
	}
	a.x, err = a.g.engines.Do(a.ctx, conn, a.request(), a.mine)
	if err != nil {
		outcome := router.Broken
		if errors.Is(err, upstream.ErrUnsent) {
			outcome = router.Unsent
		}
		a.fail(outcome, err)
		return
	}
	a.end.FirstByte = a.g.now() - a.sent
	a.end.Load = a.head.Load
	a.progressed()
	a.receive()
}

// progressed starts the wait for the next part of the answer.
func (a *attempt) progressed() {
	switch {
	case a.stall == nil:
	case a.cmd.GapTimeout > 0:
		a.stall.Reset(a.cmd.GapTimeout)
	default:
		a.stall.Stop()
	}
}

// request builds the engine's copy of the request.
func (a *attempt) request() *upstream.Request {
	header := a.r.Header.Clone()
	httputil.RemoveHopByHop(header)
	// The length is that of the message as it is sent on.
	header.Del("Content-Length")
	lastEvent := ""
	if a.cmd.Resume {
		lastEvent = a.lastEvent
	}
	a.g.protocol.WriteAttempt(header, AttemptHead{
		Engine:    a.cmd.Engine.ID,
		Customer:  a.cmd.Customer,
		Left:      a.cmd.Deadline - a.g.now(),
		Urgency:   a.cmd.Urgency,
		Ranked:    a.cmd.Route.Affinity,
		FetchFrom: a.cmd.FetchFrom,
		LastEvent: lastEvent,
	})
	return &upstream.Request{Method: a.r.Method, Target: a.target, Host: a.r.Host, Header: header, Body: a.body, IdleShare: a.cmd.IdleShare}
}

// mine tells whether an answer belongs to this request. Engines echo the request's id; rejections
// and other failures may lack it, and a success without it is nobody's.
func (a *attempt) mine(res *http.Response) bool {
	a.head = a.g.protocol.ReadAnswer(res)
	if a.head.ID == "" {
		return res.StatusCode >= 300
	}
	return a.head.ID == a.caller.head.ID
}

// fail sets the outcome of an attempt that ended without a whole answer.
func (a *attempt) fail(outcome router.Outcome, err error) {
	if a.x != nil {
		a.x.Abort()
	}
	switch {
	case a.callerLeft():
		outcome = router.CallerLeft
	case a.stalled.Load() && outcome != router.Unsent:
		outcome = router.Stalled
	case outcome != router.Unsent && (a.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)):
		outcome = router.TimedOut
	}
	a.end.Outcome = outcome
	a.end.Detail = err.Error()
}

// receive passes on the answer, or holds it back where another attempt may follow.
func (a *attempt) receive() {
	res := a.x.Response
	switch {
	case a.head.NotRun:
		a.rejected()
	case res.StatusCode < 300 && !a.head.Signed:
		a.fail(router.Broken, errUnsigned)
	case a.started && res.StatusCode >= 300:
		// The caller has a part of the stream; a failure's body would pass for the rest of it.
		a.fail(router.Broken, errNotResumed)
	case res.StatusCode < 300 && a.cmd.Route.Kind == routing.Streaming:
		a.g.step(router.ResponseStarted{Call: a.id, Load: a.head.Load})
		a.stream()
	default:
		a.whole()
	}
}

// rejected ends an attempt that the engine did not run.
func (a *attempt) rejected() {
	// The connection is kept only if the rejection ends cleanly.
	if _, err := io.Copy(io.Discard, io.LimitReader(a.x, maxHeldBytes)); err != nil {
		a.x.Abort()
	} else {
		a.x.Finish()
	}
	a.end.Outcome = router.Rejected
	if a.head.Misdirected {
		a.end.Outcome = router.Misdirected
	}
}

// whole reads an answer into memory, and passes it on once it is whole.
func (a *attempt) whole() {
	body, err := io.ReadAll(io.LimitReader(a.x, maxHeldBytes+1))
	if err != nil {
		a.fail(router.Broken, err)
		return
	}
	held := &heldAnswer{status: a.x.Response.StatusCode, header: a.x.Response.Header, body: body}
	if len(body) > maxHeldBytes {
		a.large(held)
		return
	}
	a.x.Finish()
	failed := held.status >= 500
	if failed && a.cmd.HoldFailure {
		a.held = held
		a.end.Outcome = router.Errored
		return
	}
	a.end.Failed = failed
	a.end.Outcome = router.Completed
	a.write(held)
}

// large passes on an answer that is too large to be held.
func (a *attempt) large(held *heldAnswer) {
	a.writeHead(held.status, held.header, a.x.Response.ContentLength)
	if !a.pass(held.body) {
		return
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := a.x.Read(buffer)
		if n > 0 && !a.pass(buffer[:n]) {
			return
		}
		if err == io.EOF {
			a.x.Finish()
			a.end.Outcome = router.Completed
			return
		}
		if err != nil {
			a.fail(router.Broken, err)
			return
		}
	}
}

// pass writes a part of an answer to the caller. It is false when the caller has left.
func (a *attempt) pass(data []byte) bool {
	_ = a.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := a.w.Write(data); err != nil {
		a.fail(router.CallerLeft, err)
		return false
	}
	return true
}

// deliverHeld passes on the failure that was held back.
func (c *caller) deliverHeld() { c.write(c.held) }

// write passes on a whole answer. An engine's failure with a status that promises that nothing
// ran is replaced, because only engines that say so have not run the request.
func (c *caller) write(held *heldAnswer) {
	if promisesNotRun(held.status) {
		c.writeError(http.StatusBadGateway, "engine_failed", 0)
		return
	}
	c.writeHead(held.status, held.header, int64(len(held.body)))
	_ = c.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	// A failed write means that the caller has left.
	_, _ = c.w.Write(held.body)
}

// promisesNotRun tells which statuses callers take as a promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeHead passes on the head of an answer. A negative length leaves the framing to net/http.
func (c *caller) writeHead(status int, from http.Header, length int64) {
	header := c.w.Header()
	for name, values := range from {
		header[name] = values
	}
	closing := c.g.draining.Load()
	httputil.RemoveHopByHop(header)
	// The length is that of the message as it is sent on.
	header.Del("Content-Length")
	if closing {
		header.Set("Connection", "close")
	}
	if length >= 0 {
		header["Content-Length"] = []string{formatInt(length)}
	}
	if header.Get("Content-Type") == "" {
		// Keeps net/http from guessing a type that the engine did not send.
		header["Content-Type"] = nil
	}
	c.started = true
	c.w.WriteHeader(status)
}
