package harness

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Result is how a call ended for its caller.
type Result string

// Results of a call.
const (
	// Pending means that the caller still waits.
	Pending Result = ""
	// Complete means that the caller got the whole answer of an engine.
	Complete Result = "complete"
	// Replayed means that the caller got the recorded outcome of an earlier call with the same
	// idempotency key.
	Replayed Result = "replayed"
	// NotRun, Unknown and Failed are the kinds of failure that an instance reports.
	NotRun  Result = "not_run"
	Unknown Result = "unknown"
	Failed  Result = "failed"
	// ConnectionLost means that the process of the instance ended during the call, or was down
	// when the call was submitted.
	ConnectionLost Result = "connection_lost"
)

// Call is one request of a caller.
type Call struct {
	core.Call
	// Key is the idempotency key of a non-idempotent call.
	Key string
	// Tokens is the length of the answer.
	Tokens int
	// Start and End are virtual times. FirstRun is the start of the first run, zero if there was
	// none. FirstToken is the time of the first token of the latest run that began the answer
	// anew rather than resuming it.
	Start, End           time.Duration
	FirstRun, FirstToken time.Duration
	Result               Result
	Code                 string
	// Cached is true if the engine that completed the call had the chat's prefix cached.
	Cached bool
	// Runs counts the runs of the call on engines.
	Runs int
	// Body is the body of the replayed outcome.
	Body []byte

	deliveredTokens int
	h               *Harness
}

func (c *Call) remainingTokens() int { return c.Tokens - c.deliveredTokens }

// Submit sends a call to an instance; tokens is the length of the answer. A call to an
// instance that is down ends at once with ConnectionLost.
func (h *Harness) Submit(n *Node, call core.Call, tokens int) *Call {
	c := &Call{Call: call, Tokens: tokens, Start: h.Now(), h: h}
	if call.NonIdempotent {
		c.Key = call.IdempotencyKey
	}
	h.Calls = append(h.Calls, c)
	if !n.Up {
		c.end(ConnectionLost)
		return c
	}
	n.lastRequest++
	id := n.lastRequest
	n.requests[id] = c
	n.stepAfter(0, core.RequestArrived{Request: id, Call: call})
	return c
}

// ChatCall returns a call to a chat service. Calls of the same conversation belong to one chat.
func ChatCall(customer fleet.CustomerID, service fleet.ServiceID, conversation string) core.Call {
	return core.Call{
		Customer:    customer,
		Service:     service,
		Chat:        fleet.ChatKeyOf(customer, conversation),
		Fingerprint: fleet.Fingerprint(fleet.Hash(string(customer), conversation)),
	}
}

// OrderCall returns a non-idempotent call to a plain service.
func OrderCall(customer fleet.CustomerID, service fleet.ServiceID, key string) core.Call {
	return core.Call{
		Customer:       customer,
		Service:        service,
		Chat:           fleet.ChatKey(fleet.Hash("call", string(customer), key)),
		Fingerprint:    fleet.Fingerprint(fleet.Hash("order", key)),
		NonIdempotent:  true,
		IdempotencyKey: key,
	}
}

// end records how a call ended. A call that has ended keeps its first result.
func (c *Call) end(result Result) {
	if c.Result != Pending {
		return
	}
	c.Result = result
	c.End = c.h.Now()
}

func (c *Call) complete(cached bool) {
	c.Cached = cached
	c.end(Complete)
}

func (c *Call) fail(e core.FailRequest) {
	c.Code = e.Code
	c.end(Result(e.Kind))
}

func (c *Call) replay(o wire.Outcome) {
	c.Body = o.Body
	c.end(Replayed)
}

func (c *Call) loseConnection() { c.end(ConnectionLost) }
