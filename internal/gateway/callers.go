package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/router"
	"github.com/bilberrywell/bilberrywell/internal/upstream"
	"github.com/bilberrywell/bilberrywell/versions"
)

// defaultMaxBodyBytes bounds a request body while no configuration sets the limit.
const defaultMaxBodyBytes = 4 << 20

// callerRequest is one request of a caller, from its arrival to its final response.
type callerRequest struct {
	g                  *Gateway
	w                  http.ResponseWriter
	responseController *http.ResponseController
	r                  *http.Request
	id                 router.CallID
	callHead           CallHead
	target             string
	body               []byte
	// heldBody is the number of bytes that count in the instance's bodyMemory.
	heldBody int64

	// opened passes the attempt beside a silent one, once it has taken its place, to the request's goroutine.
	opened chan *attempt

	// turn guards the fields up to the next blank line, and decides which of two attempts forwards its response.
	turn sync.Mutex
	// current is the attempt whose response is forwarded, beside the one that may take its place; both may be nil.
	current, beside *attempt
	// begun is set when an attempt begins to forward a response, settled once no other attempt may respond. begunVersion is
	// the software version of the engine of the attempt that began.
	begun, settled bool
	begunVersion   fleet.EngineVersion
	// usedConns are the connections to engines that have carried the request.
	usedConns []*upstream.Conn
	// lastEvent is the id of the last event that was forwarded, or that the caller named.
	lastEvent string
	// endsWithoutID reports whether the last event that was forwarded has no id.
	endsWithoutID bool

	// headerWritten reports whether the header of an engine's response was written to the caller.
	headerWritten atomic.Bool
	// mediaType is the type of that response. It is set before headerWritten.
	mediaType string
	// heldFailure is an engine's failure response that is held back while another attempt may follow.
	heldFailure *heldResponse
	// eventDue reports whether the stream broke off inside an event, so that it is incomplete without another.
	eventDue bool
}

// serveCall serves one request.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := g.now()
	defer g.recordPanic(r)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &callerRequest{g: g, w: w, r: r, responseController: http.NewResponseController(w), callHead: g.protocol.ReadCall(r.Header)}
	release, complete := c.hold(), httputil.ResetUnlessComplete(r)
	c.lastEvent = c.callHead.LastEvent
	c.target = requestTarget(r)
	// The request counts from here on, so that a planned stop waits for its body too.
	c.opened = make(chan *attempt)
	id, commands := g.calls.add(c)
	defer g.calls.remove(id)
	defer c.releaseBody()
	c.id = id
	if !c.headerTooLarge() && c.readBody() {
		call := callOf(id, c.callHead, r.Host, r.Method, c.target, c.body, arrived)
		if call.Resumes {
			// The version of the rest of a stream depends on how old this instance's copy of the store is.
			g.clock.noticeSuspension()
		}
		g.step(router.CallArrived{Call: call})
		c.executeAll(commands)
	}
	complete()
	release()
}

// callOf returns what decisions about a request depend on. target is the path and query of its request line.
func callOf(id router.CallID, head CallHead, host, method, target string, body []byte, arrived time.Duration) router.Call {
	path, _, _ := strings.Cut(target, "?")
	return router.Call{
		ID:            id,
		RequestID:     head.ID,
		Host:          host,
		Path:          path,
		APIKey:        head.APIKey,
		Prompt:        head.Prompt,
		Fingerprint:   fingerprint(method, target, head.APIKey, body),
		PromptParts:   head.PromptParts,
		Tokens:        head.Tokens,
		Resumes:       head.LastEvent != "" || head.Stream != "",
		Stream:        versions.KeyOf(head.Stream),
		CallerTimeout: head.CallerTimeout,
		BodyBytes:     int64(len(body)),
		Arrived:       arrived,
	}
}

// executeAll executes the commands for the request until it has ended. Between attempts the request may wait in the
// router, which is told if its caller disconnects meanwhile. Attempts notice that themselves.
func (c *callerRequest) executeAll(commands <-chan router.Command) {
	disconnected := c.r.Context().Done()
	for {
		select {
		case command := <-commands:
			if c.execute(command) {
				return
			}
		case a := <-c.opened:
			c.g.step(a.forwardOpened())
		case <-disconnected:
			disconnected = nil
			c.g.step(router.CallerDisconnected{Call: c.id})
		}
	}
}

// requestTarget returns the request line's path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// headerTooLarge reports whether the header exceeds the configured limit, and refuses the request if so.
func (c *callerRequest) headerTooLarge() bool {
	t := c.g.table.Load()
	if t == nil || t.Limits.HeaderBytes <= 0 {
		return false
	}
	size := len(c.r.Method) + len(c.target) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(c.r.Host)
	for name, values := range c.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	if size <= t.Limits.HeaderBytes {
		return false
	}
	c.writeError(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0)
	return true
}

// defaultBodyTimeout bounds the time to receive a body if the caller did not say how long it waits.
const defaultBodyTimeout = 30 * time.Second

// readBody reads the whole body, for no longer than the caller waits for its response. It returns false
// if it has refused the request.
func (c *callerRequest) readBody() bool {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return true
	}
	within := c.callHead.CallerTimeout
	if within <= 0 {
		within = defaultBodyTimeout
	}
	if err := c.responseController.SetReadDeadline(time.Now().Add(within)); err != nil {
		panic(http.ErrAbortHandler)
	}
	c.g.calls.startReading(c.id, func() { _ = c.responseController.SetReadDeadline(time.Now()) })
	whole := c.receiveBody()
	c.g.calls.stopReading(c.id)
	if !whole {
		// The deadline stays: net/http reads what is left of the body before it closes the connection.
		return false
	}
	if err := c.responseController.SetReadDeadline(time.Time{}); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// bodyFailed refuses a request whose body did not arrive in time, or before the instance stops, and closes the
// connection if the body broke off. It returns false, as receiveBody then does.
func (c *callerRequest) bodyFailed(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	c.w.Header().Set("Connection", "close")
	if refusal := c.g.calls.unreadRefusal(); refusal != nil {
		c.writeError(refusalStatus[router.NotRun], refusal.Code, refusal.RetryAfter)
		return false
	}
	c.writeError(http.StatusRequestTimeout, "body_too_slow", 0)
	return false
}

// receiveBody reads the body up to the configured limit. It returns false if that fails.
func (c *callerRequest) receiveBody() bool {
	limit := int64(defaultMaxBodyBytes)
	if t := c.g.table.Load(); t != nil && t.Limits.BodyBytes > 0 {
		limit = t.Limits.BodyBytes
	}
	if n := c.r.ContentLength; n > 0 && n <= limit {
		if !c.takeBody(n) {
			return c.refuseBody()
		}
		c.body = make([]byte, n)
		if _, err := io.ReadFull(c.r.Body, c.body); err != nil {
			return c.bodyFailed(err)
		}
		// The body must be read to EOF, so that net/http notices when the caller disconnects.
		if _, err := io.Copy(io.Discard, c.r.Body); err != nil {
			return c.bodyFailed(err)
		}
		return true
	}
	body, err := io.ReadAll(countedBody{http.MaxBytesReader(c.w, c.r.Body, limit), c})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.writeError(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	if errors.Is(err, errBodiesFull) {
		return c.refuseBody()
	}
	if err != nil {
		return c.bodyFailed(err)
	}
	c.body = body
	return true
}

// fingerprint returns a hash of what an engine would run: a request that is sent again has the same one.
func fingerprint(method, target, apiKey string, body []byte) fleet.Fingerprint {
	return fleet.Fingerprint(fleet.Hash(method, target, apiKey, strconv.FormatUint(xxhash.Sum64(body), 16)))
}

// execute executes a command. It returns true if the request has ended.
func (c *callerRequest) execute(command router.Command) bool {
	switch command := command.(type) {
	case router.Send:
		c.g.step(c.runAttempt(command))
		return false
	case router.DeliverFailure:
		c.deliverHeld()
	case router.Refuse:
		c.refuse(command)
	case router.Release:
		if !command.Complete {
			// The caller may only have closed its sending side. Without a break it would take an empty response,
			// or a part of a stream, for the whole one.
			c.abortConnection()
		}
	}
	return true
}

// refusalStatus holds the status of each refusal. With the last two the request may have run.
var refusalStatus = map[router.Refusal]int{
	router.NotRun:       http.StatusServiceUnavailable,
	router.UnknownKey:   http.StatusUnauthorized,
	router.UnknownRoute: http.StatusNotFound,
	router.MayHaveRun:   http.StatusBadGateway,
	router.TooLate:      http.StatusGatewayTimeout,
}

func (c *callerRequest) refuse(command router.Refuse) {
	if c.headerWritten.Load() {
		c.abortConnection()
	}
	c.writeError(refusalStatus[command.Refusal], command.Code, command.RetryAfter)
}

// abortConnection closes the connection, so that the caller sees that the response is incomplete.
func (c *callerRequest) abortConnection() {
	panic(http.ErrAbortHandler)
}

// errorBody is the JSON body of the gateway's own error responses.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (c *callerRequest) writeError(status int, code string, retryAfter time.Duration) {
	var body errorBody
	body.Error.Code = code
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	if c.g.draining.Load() {
		header.Set("Connection", "close")
	}
	c.announceIdle(header)
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	data, err := json.Marshal(body)
	if err != nil {
		c.abortConnection()
	}
	c.w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = c.w.Write(data)
}

// connsBefore returns the connections to engines that have carried the request.
func (c *callerRequest) connsBefore() []*upstream.Conn {
	c.turn.Lock()
	defer c.turn.Unlock()
	return slices.Clone(c.usedConns)
}

// useConn records a connection that carries the request.
func (c *callerRequest) useConn(conn *upstream.Conn) {
	c.turn.Lock()
	defer c.turn.Unlock()
	c.usedConns = append(c.usedConns, conn)
}

// callContext returns a context that ends at until, the request's deadline, or when its caller
// disconnects.
func (c *callerRequest) callContext(until time.Duration) (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.r.Context(), c.g.clock.at(until))
}

// callerDisconnected reports whether the caller has closed its connection.
func (c *callerRequest) callerDisconnected() bool { return c.r.Context().Err() != nil }
