package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

const (
	// bodiesFullRetryAfter is the Retry-After of requests whose body finds no room. Most requests end within it.
	bodiesFullRetryAfter = 300 * time.Millisecond
	// bodiesFull is the code of their refusal.
	bodiesFull = "bodies_full"
)

// errBodiesFull reports that the instance holds as many bytes of request bodies as it may.
var errBodiesFull = errors.New("the bodies of requests fill the memory set aside for them")

// bodyMemory bounds the bytes of request bodies that the instance holds in total.
type bodyMemory struct {
	// limit is 0 without a bound.
	limit int64
	held  atomic.Int64
}

// take adds bytes to those held and returns true if the limit allows it.
func (m *bodyMemory) take(n int64) bool {
	if held := m.held.Add(n); m.limit > 0 && held > m.limit {
		m.held.Add(-n)
		return false
	}
	return true
}

// release removes bytes from those held.
func (m *bodyMemory) release(n int64) { m.held.Add(-n) }

// takeBody counts bytes of the request's body until the request ends.
func (c *callerRequest) takeBody(n int64) bool {
	if !c.g.bodies.take(n) {
		return false
	}
	c.heldBody += n
	return true
}

// releaseBody ends the count of the request's body.
func (c *callerRequest) releaseBody() { c.g.bodies.release(c.heldBody) }

// countedBody counts the bytes of a body whose length is not known as they are read.
type countedBody struct {
	io.Reader
	c *callerRequest
}

// Read implements io.Reader.
func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 && !b.c.takeBody(int64(n)) {
		return 0, errBodiesFull
	}
	return n, err
}

// refuseBody refuses a request whose body finds no room. What is left of the body is not read.
func (c *callerRequest) refuseBody() bool {
	c.g.recordDecision(router.Decision{Kind: "body_refused", RequestID: c.callHead.ID, Fields: []any{
		"length", c.r.ContentLength, "read", c.heldBody, "held", c.g.bodies.held.Load(), "limit", c.g.bodies.limit}})
	c.w.Header().Set("Connection", "close")
	c.writeError(http.StatusServiceUnavailable, bodiesFull, bodiesFullRetryAfter)
	return false
}
