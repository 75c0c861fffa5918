package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/router"
)

// defaultBodyBytes bounds a body until a configuration says it.
const defaultBodyBytes = 4 << 20

// caller is one request of a caller, from its header to its final answer.
type caller struct {
	g       *Gateway
	w       http.ResponseWriter
	control *http.ResponseController
	r       *http.Request
	id      router.CallID
	head    CallHead
	target  string
	body    []byte

	// started tells that an answer's head has reached the caller.
	started bool
	// held is an engine's failure that waits for the decision about another attempt.
	held *heldAnswer
	// lastEvent is the id of the last event that was passed on, or that the caller named.
	lastEvent string
}

// serveCall serves one request.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := g.now()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &caller{g: g, w: w, r: r, control: http.NewResponseController(w), head: g.protocol.ReadCall(r.Header)}
	c.lastEvent = c.head.LastEvent
	c.target = requestTarget(r)
	if c.headerTooLarge() || !c.readBody() {
		return
	}
	id, commands := g.calls.add()
	defer g.calls.remove(id)
	c.id = id
	path, _, _ := strings.Cut(c.target, "?")
	g.step(router.CallArrived{Call: router.Call{
		ID:            id,
		Label:         c.head.ID,
		Host:          r.Host,
		Path:          path,
		APIKey:        c.head.APIKey,
		Prompt:        c.head.Prompt,
		Fingerprint:   c.fingerprint(),
		CallerTimeout: c.head.Patience,
		Arrived:       arrived,
	}})
	for command := range commands {
		if c.follow(command) {
			return
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

// headerTooLarge answers a request whose header is above the configured limit.
func (c *caller) headerTooLarge() bool {
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

// defaultBodyTime bounds the time to receive a body where the caller did not say how long it waits.
const defaultBodyTime = 30 * time.Second

// readBody reads the whole body, for no longer than the caller waits for its answer. It is false
// when the request has been answered instead.
func (c *caller) readBody() bool {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return true
	}
	within := c.head.Patience
	if within <= 0 {
		within = defaultBodyTime
	}
	if err := c.control.SetReadDeadline(time.Now().Add(within)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !c.receiveBody() {
		// The deadline stays: net/http reads what is left of the body before it closes the connection.
		return false
	}
	if err := c.control.SetReadDeadline(time.Time{}); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// bodyFailed answers a request whose body did not arrive in time, and ends one that broke off.
func (c *caller) bodyFailed(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	c.w.Header().Set("Connection", "close")
	c.writeError(http.StatusRequestTimeout, "body_too_slow", 0)
	return false
}

func (c *caller) receiveBody() bool {
	limit := int64(defaultBodyBytes)
	if t := c.g.table.Load(); t != nil && t.Limits.BodyBytes > 0 {
		limit = t.Limits.BodyBytes
	}
	if n := c.r.ContentLength; n > 0 && n <= limit {
		c.body = make([]byte, n)
		if _, err := io.ReadFull(c.r.Body, c.body); err != nil {
			return c.bodyFailed(err)
		}
		// The end must be read too, so that net/http notices a caller that leaves.
		_, err := io.Copy(io.Discard, c.r.Body)
		return err == nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.writeError(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	if err != nil {
		return c.bodyFailed(err)
	}
	c.body = body
	return true
}

// fingerprint identifies what an engine would run: the same request sent again has the same one.
func (c *caller) fingerprint() fleet.Fingerprint {
	body := xxhash.Sum64(c.body)
	return fleet.Fingerprint(fleet.Hash(c.r.Method, c.target, c.head.APIKey, strconv.FormatUint(body, 16)))
}

// follow carries out a command. It is true when the request has ended.
func (c *caller) follow(command router.Command) bool {
	switch command := command.(type) {
	case router.Send:
		c.g.step(c.attempt(command))
		return false
	case router.DeliverFailure:
		c.deliverHeld()
	case router.Refuse:
		c.refuse(command)
	case router.Release:
	}
	return true
}

// statuses of refusals. The last two promise nothing about whether the request ran.
var refusalStatus = map[router.Refusal]int{
	router.NotRun:       http.StatusServiceUnavailable,
	router.UnknownKey:   http.StatusUnauthorized,
	router.UnknownRoute: http.StatusNotFound,
	router.MayHaveRun:   http.StatusBadGateway,
	router.TooLate:      http.StatusGatewayTimeout,
}

func (c *caller) refuse(command router.Refuse) {
	if c.started {
		c.breakOff()
	}
	c.writeError(refusalStatus[command.Refusal], command.Code, command.RetryAfter)
}

// breakOff closes the connection, so that the caller can't take the answer for whole.
func (c *caller) breakOff() {
	panic(http.ErrAbortHandler)
}

// errorBody is the JSON shape of the gateway's own answers.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (c *caller) writeError(status int, code string, retryAfter time.Duration) {
	var body errorBody
	body.Error.Code = code
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	data, err := json.Marshal(body)
	if err != nil {
		c.breakOff()
	}
	c.w.WriteHeader(status)
	// A failed write means that the caller has left.
	_, _ = c.w.Write(data)
}

// callContext returns a context that ends at the request's time limit or when its caller leaves.
func (c *caller) callContext(until time.Duration) (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.r.Context(), c.g.start.Add(until))
}

// callerLeft reports whether the caller has closed its connection.
func (c *caller) callerLeft() bool { return c.r.Context().Err() != nil }
