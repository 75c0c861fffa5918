package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
	"github.com/bilberrywell/bilberrywell/routing"
)

const (
	// maxHeldBytes bounds a response that is held in memory until it is complete. A larger one is
	// forwarded as it arrives and can't be replaced by another attempt.
	maxHeldBytes = 64 << 10
	// copyBufferBytes is the size of the buffer for a response that is forwarded as it arrives.
	copyBufferBytes = 4 << 10
	// maxUnsizedBytes bounds a response that does not state its length: a faulty engine may send without
	// end.
	maxUnsizedBytes = 64 << 20
	// rejectionTimeout bounds the time to read the body of a rejection, which decides nothing.
	rejectionTimeout = 100 * time.Millisecond
	// callerWriteTimeout bounds each write to a caller, which blocks if the caller does not read.
	callerWriteTimeout = 5 * time.Second
)

var (
	// errUnsigned reports a success status without the signature by which the engine confirms it.
	errUnsigned = errors.New("response has a success status but no signature")
	// errLargeFailure and errLargeBody report a body that is longer than an engine's response can be.
	errLargeFailure = errors.New("failure response exceeds 64 KiB")
	errLargeBody    = errors.New("response without a length exceeds 64 MiB")
	// errNoBody reports a success without a length whose connection ended before its body.
	errNoBody = errors.New("the connection ended before the body")
	// errNotResumed reports a response that does not go on with the stream that it was to resume.
	errNotResumed = errors.New("engine did not resume the stream")
)

// heldResponse is an engine's complete response in memory.
type heldResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt is one exchange with an engine.
type attempt struct {
	*callerRequest
	cmd    router.Send
	ctx    context.Context
	cancel context.CancelFunc
	sentAt time.Duration
	// resumeAfter is the id of the event after which the engine is to go on with the stream, or empty.
	resumeAfter string
	// deliveredTo is the id of the last event that the caller had before the attempt, until a later one has arrived, or empty.
	deliveredTo string
	exchange    *upstream.Exchange
	// responseBody is the body of the response, of which a part may have been read.
	responseBody io.Reader
	// engineConn carries the exchange. The stall watch looks at it.
	engineConn   atomic.Pointer[upstream.Conn]
	responseHead ResponseHead
	result       router.AttemptEnded
	// eventForwarded reports whether the attempt has added an event to the caller's stream.
	eventForwarded bool
	// stallWatch is nil if the attempt has no header timeout.
	stallWatch *stallWatch
	state      attemptState
}

// runAttempt sends the request to an engine and forwards the response.
func (c *callerRequest) runAttempt(cmd router.Send) router.AttemptEnded {
	a := c.startAttempt(cmd)
	defer a.stop()
	if a.open() {
		a.forwardResponse()
	}
	return a.finish()
}

// newAttempt returns a new attempt. The caller holds turn.
func (c *callerRequest) newAttempt(cmd router.Send) *attempt {
	a := &attempt{callerRequest: c, cmd: cmd, sentAt: c.g.now(), result: router.AttemptEnded{Call: c.id, Engine: cmd.Engine.ID}, deliveredTo: c.lastEvent}
	a.ctx, a.cancel = c.callContext(cmd.Deadline)
	if cmd.Resume || c.begun {
		a.resumeAfter = c.lastEvent
	}
	if c.begun && !cmd.Beside {
		a.state.begin(responseBegun)
	}
	if cmd.HeaderTimeout > 0 {
		a.watchForStalls()
	}
	return a
}

// open sends the request and reads the header of the response. It returns false if the attempt has failed.
func (a *attempt) open() bool {
	conn, err := a.g.engineConns.Get(a.ctx, a.cmd.Engine.Addr, a.connsBefore()...)
	if err != nil {
		a.fail(router.Unsent, err)
		return false
	}
	a.useConn(conn)
	a.engineConn.Store(conn)
	a.exchange, err = a.g.engineConns.Do(a.ctx, conn, a.request(), a.ownerOf)
	if err != nil {
		outcome := router.Broken
		if errors.Is(err, upstream.ErrUnsent) {
			outcome = router.Unsent
		}
		a.fail(outcome, err)
		return false
	}
	a.responseBody, a.result.Framing = a.exchange, a.exchange.Framing()
	a.result.FirstByte = a.g.now() - a.sentAt
	report := a.engineReport()
	a.result.Report = &report
	a.stallWatch.reset(a.cmd.GapTimeout)
	return true
}

// reportStall reports a timeout of the engine unless its bytes have been read meanwhile, or they or the end of the connection wait to be
// read: then this process was suspended or busy, or the caller does not read.
func (a *attempt) reportStall(silent func() bool) {
	a.g.stepIf(func() bool {
		conn := a.engineConn.Load()
		if silent() && (conn == nil || !conn.AwaitsRead()) {
			return true
		}
		a.g.metrics.set.GetOrCreateCounter("bilberry_late_reads_total").Inc()
		klog.InfoS("late_read", "request", a.callHead.ID, "engine", a.cmd.Engine.ID)
		return false
	}, router.AttemptStalled{Call: a.id, Engine: a.cmd.Engine.ID, Delivered: a.headerWritten.Load()})
}

// request builds the engine's copy of the request.
func (a *attempt) request() *upstream.Request {
	header := a.r.Header.Clone()
	httputil.RemoveHopByHop(header)
	// The length of the message as it is forwarded is set when it is written.
	header.Del("Content-Length")
	a.g.protocol.WriteAttempt(header, AttemptHead{
		Engine:         a.cmd.Engine.ID,
		Customer:       a.cmd.Customer,
		TimeLeft:       a.cmd.Deadline - a.g.now(),
		Urgency:        a.cmd.Urgency,
		AcceptsUrgency: a.cmd.Route.Affinity,
		FetchFrom:      a.cmd.FetchFrom,
		LastEvent:      a.resumeAfter,
	})
	return &upstream.Request{Method: a.r.Method, Target: a.target, Host: a.r.Host, Header: header, Body: a.body, IdleShare: a.cmd.IdleShare}
}

// ownerOf tells whose response a response is. Engines echo the request's id. Rejections and other failures
// may lack it; a success without it belongs to no request.
func (a *attempt) ownerOf(res *http.Response) upstream.Owner {
	a.responseHead = a.g.protocol.ReadResponse(res)
	switch {
	case a.responseHead.ID == "" && res.StatusCode >= 300:
		return upstream.UnnamedRequest
	case a.responseHead.ID != "" && a.responseHead.ID == a.callerRequest.callHead.ID:
		return upstream.ThisRequest
	}
	return upstream.OtherRequest
}

// engineReport returns what the engine says of itself in the header of the response. A response that was
// sent by another engine says nothing.
func (a *attempt) engineReport() router.EngineReport {
	if a.responseHead.Misdirected {
		return router.EngineReport{}
	}
	head := &a.responseHead
	return router.EngineReport{
		Load: head.Load, RateLimit: head.RateLimit, Leaving: head.Leaving, QuietFor: head.QuietFor, ColdFor: head.ColdFor,
		UnusableValue: head.UnusableValue, Confirmed: head.Signed,
	}
}

// fail closes the connection and sets the outcome of an attempt that ended without a complete response.
func (a *attempt) fail(outcome router.Outcome, err error) {
	if a.exchange != nil {
		a.exchange.Abort()
	}
	endedAs, ended := a.state.endedAs()
	switch {
	case a.callerDisconnected():
		outcome = router.CallerLeft
	case ended && (outcome != router.Unsent || endedAs == router.Superseded):
		outcome = endedAs
	case outcome != router.Unsent && (a.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)):
		outcome = router.TimedOut
	}
	a.result.Outcome = outcome
	a.result.Detail = err.Error()
}

// forwardResponse forwards the response, or holds it back if another attempt may follow.
func (a *attempt) forwardResponse() {
	if a.responseHead.NotRun {
		a.endRejected()
		return
	}
	if err := a.unusable(); err != nil {
		a.fail(router.Broken, err)
		return
	}
	if a.isStream() {
		a.g.step(router.ResponseStarted{Call: a.id, Report: *a.result.Report})
		a.forwardStream()
		return
	}
	a.forwardWhole()
}

// isStream reports whether the events of the response are forwarded as they arrive.
func (a *attempt) isStream() bool {
	return a.exchange.Response.StatusCode < 300 && a.cmd.Route.Kind == routing.Streaming
}

// unusable returns why a response can't be forwarded, or nil.
func (a *attempt) unusable() error {
	switch {
	case a.exchange.Response.StatusCode < 300 && !a.responseHead.Signed:
		return errUnsigned
	case a.headerWritten.Load() && !a.resumesStream():
		// The caller has received a part of the stream and would take another body for the rest of it.
		return errNotResumed
	}
	return nil
}

// resumesStream reports whether the response has status 200 and the type of the stream of which the caller has
// received a part.
func (a *attempt) resumesStream() bool {
	res := a.exchange.Response
	return res.StatusCode == http.StatusOK && mediaType(res.Header) == a.mediaType
}

// mediaType returns the content type of a header without parameters, or an empty string.
func mediaType(header http.Header) string {
	// A parameter that can't be parsed leaves the type; anything else leaves it empty.
	media, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return media
}

// endRejected ends an attempt that the engine did not run.
func (a *attempt) endRejected() {
	if a.exchange.EndsWithConnection() || !a.discardRejection() {
		a.exchange.Abort()
	} else {
		a.exchange.Finish()
	}
	a.result.Outcome = router.Rejected
	if a.responseHead.Misdirected {
		a.result.Outcome = router.Misdirected
	}
}

// discardRejection reads the rest of a rejection, and reports whether it ended cleanly, so that the connection can be reused.
func (a *attempt) discardRejection() bool {
	a.exchange.SetReadTimeout(rejectionTimeout)
	_, err := io.Copy(io.Discard, io.LimitReader(a.exchange, maxHeldBytes))
	return err == nil
}

// forwardWhole reads a response into memory, and forwards it once it is complete.
func (a *attempt) forwardWhole() {
	body, err := io.ReadAll(io.LimitReader(a.responseBody, maxHeldBytes+1))
	if err != nil {
		a.fail(router.Broken, err)
		return
	}
	held := &heldResponse{status: a.exchange.Response.StatusCode, header: a.exchange.Response.Header, body: body}
	switch {
	case a.endsWithoutBody(len(body)):
		a.fail(router.Broken, errNoBody)
		return
	case len(body) > maxHeldBytes && held.status >= 300:
		a.fail(router.Broken, errLargeFailure)
		return
	case len(body) > maxHeldBytes:
		a.forwardLarge(held)
		return
	}
	a.exchange.Finish()
	failed := held.status >= 500
	if failed && a.cmd.HoldFailure {
		a.heldFailure = held
		a.result.Outcome = router.Errored
		return
	}
	if !a.delivers() {
		a.fail(router.Broken, errEnded)
		return
	}
	a.result.Failed = failed
	a.result.Outcome = router.Completed
	a.writeHeld(held)
}

// endsWithoutBody reports whether a successful response of n bytes has ended with its connection before its first byte:
// that can't be told from a break.
func (a *attempt) endsWithoutBody(n int) bool {
	return n == 0 && a.exchange.Response.StatusCode < 300 && a.exchange.EndsWithConnection() && a.r.Method != http.MethodHead
}

// forwardLarge forwards a response that is too large to be held, beginning with the part already read.
func (a *attempt) forwardLarge(held *heldResponse) {
	// No other engine can replace the response from here on.
	a.stallWatch.reset(0)
	if !a.beginResponse(responseFixed, a.exchange.Response.ContentLength) || !a.forwardPart(held.body) {
		return
	}
	buffer := make([]byte, copyBufferBytes)
	unsized := a.exchange.Response.ContentLength < 0
	for total := len(held.body); ; {
		n, err := a.responseBody.Read(buffer)
		if total += n; unsized && total > maxUnsizedBytes {
			a.fail(router.Broken, errLargeBody)
			return
		}
		if n > 0 && !a.forwardPart(buffer[:n]) {
			return
		}
		if err == io.EOF {
			a.exchange.Finish()
			a.result.Outcome = router.Completed
			return
		}
		if err != nil {
			a.fail(router.Broken, err)
			return
		}
	}
}

// errEnded reports an attempt that was ended before its response began.
var errEnded = errors.New("the attempt was ended")

// beginResponse writes the header of the response to the caller. It returns false if the attempt was ended.
func (a *attempt) beginResponse(state uint32, length int64) bool {
	a.turn.Lock()
	goesOn := a.goesOn(state)
	a.turn.Unlock()
	if !goesOn {
		a.fail(router.Broken, errEnded)
		return false
	}
	a.writeHead(a.exchange.Response.StatusCode, a.exchange.Response.Header, length)
	return true
}

// forwardPart writes a part of a response to the caller. It returns false if the write fails, which
// means that the caller has disconnected.
func (a *attempt) forwardPart(data []byte) bool {
	a.boundWrites()
	if _, err := a.w.Write(data); err != nil {
		a.fail(router.CallerLeft, err)
		return false
	}
	return true
}

// boundWrites starts a new callerWriteTimeout for what is written next.
func (c *callerRequest) boundWrites() {
	_ = c.responseController.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// deliverHeld forwards the failure response that was held back.
func (c *callerRequest) deliverHeld() { c.writeHeld(c.heldFailure) }

// writeHeld forwards a complete response. A failure whose status means that the request did not run is
// replaced by a 502, because the engine did not state that it has not run the request.
func (c *callerRequest) writeHeld(held *heldResponse) {
	if statusMeansNotRun(held.status) {
		c.writeError(http.StatusBadGateway, "engine_failed", 0)
		return
	}
	c.writeHead(held.status, held.header, int64(len(held.body)))
	c.boundWrites()
	// A failed write means that the caller has disconnected.
	_, _ = c.w.Write(held.body)
}

// statusMeansNotRun reports whether callers conclude from a status that the request did not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeHead writes the status and the header of a response. A negative length leaves the framing to
// net/http.
func (c *callerRequest) writeHead(status int, from http.Header, length int64) {
	header := c.w.Header()
	for name, values := range from {
		header[name] = values
	}
	closing := c.g.draining.Load()
	httputil.RemoveHopByHop(header)
	// The engine's length is replaced by that of the message as it is forwarded.
	header.Del("Content-Length")
	if closing {
		header.Set("Connection", "close")
	}
	c.announceIdle(header)
	if length >= 0 {
		header["Content-Length"] = []string{formatInt(length)}
	}
	if header.Get("Content-Type") == "" {
		// Keeps net/http from guessing a type that the engine did not send.
		header["Content-Type"] = nil
	}
	c.mediaType = mediaType(header)
	c.headerWritten.Store(true)
	c.w.WriteHeader(status)
}
